// Package logger writes the project's logs as JSON lines.
//
// Each line has the fields Time (RFC 3339, UTC, with fractions of a second), Level, Message, and Logger when the
// logger is named. An error line has the error in Error, and in ErrorVerbose the error with the source locations
// that it carries, if any.
package logger

import (
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// levels maps level names to the levels of zap.
var levels = map[string]zapcore.Level{
	"debug": zapcore.DebugLevel,
	"info":  zapcore.InfoLevel,
	"warn":  zapcore.WarnLevel,
	"error": zapcore.ErrorLevel,
}

// New returns a logger that writes to w with one call of Write for each line. It may be used concurrently.
// level is "debug" (V(1) lines too), "info", or "warn" or "error" (error lines only).
// New returns an error for any other level.
func New(w io.Writer, level string) (logr.Logger, error) {
	l, ok := levels[level]
	if !ok {
		return logr.Discard(), errors.Errorf("unknown log level %q", level)
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoderConfig()), zapcore.Lock(zapcore.AddSync(w)), l)
	return zapr.NewLoggerWithOptions(zap.New(core), zapr.ErrorKey("Error")), nil
}

// encoderConfig returns the field names and value formats of a line.
func encoderConfig() zapcore.EncoderConfig {
	return zapcore.EncoderConfig{
		TimeKey:        "Time",
		LevelKey:       "Level",
		NameKey:        "Logger",
		MessageKey:     "Message",
		LineEnding:     zapcore.DefaultLineEnding,
		EncodeTime:     encodeTime,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
		EncodeName:     zapcore.FullNameEncoder,
	}
}

// encodeTime writes t in RFC 3339, in UTC so that lines of different VMs can be compared.
func encodeTime(t time.Time, enc zapcore.PrimitiveArrayEncoder) {
	zapcore.RFC3339NanoTimeEncoder(t.UTC(), enc)
}
