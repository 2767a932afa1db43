package logger_test

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/carawaytiller/carawaytiller/logger"
)

func ExampleNew() {
	var b bytes.Buffer
	log, _ := logger.New(&b, "info")
	log.Info("Seat claimed", "Seat", 3)
	var line struct {
		Level, Message string
		Seat           int
	}
	_ = json.Unmarshal(b.Bytes(), &line)
	fmt.Println(line.Level, line.Message, line.Seat)
	// Output: info Seat claimed 3
}
