package decoder_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/decoder"
)

// validSettings are valid settings that set every field without a default, except Seat.
const validSettings = `{
"Name": "vm-1",
"Domain": "a",
"Environment": "trial",
"CallerAddress": "0.0.0.0:8080",
"OperatorAddress": "127.0.0.1:8081",
"PeerAddress": "10.0.0.1:8082",
"PlatformAddresses": ["10.0.0.9:9000", "[fd00::9]:9000"],
"CertificateFile": "c.pem", "KeyFile": "k.pem", "AuthorityFile": "a.pem",
}
`

func TestDecodeSettingsSetsDefaults(t *testing.T) {
	s, faults := decoder.DecodeSettings("settings.json", []byte(validSettings))
	require.Empty(t, faults)
	require.Nil(t, s.Seat)
	require.Equal(t, "info", s.LogLevel)
	require.EqualValues(t, 30_000, s.StopMillis)
	require.Equal(t, []string{"10.0.0.9:9000", "[fd00::9]:9000"}, s.PlatformAddresses)
}

// TestDecodeSettingsWithSeat guards against requiring peer and store addresses of a single process with a fixed seat,
// which uses neither.
func TestDecodeSettingsWithSeat(t *testing.T) {
	text := `{"Name": "n", "Domain": "a", "Environment": "trial", "CallerAddress": "127.0.0.1:0",
"OperatorAddress": "127.0.0.1:0", "Seat": 0}`
	s, faults := decoder.DecodeSettings("", []byte(text))
	require.Empty(t, faults)
	require.Equal(t, 0, *s.Seat)
}

func TestDecodeSettingsFaults(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"missing field", `"Name": "vm-1",`, ``, `1:1: Name: missing required field`},
		{"no peer address", `"PeerAddress": "10.0.0.1:8082",`, ``, `1:1: PeerAddress: missing required field; it is optional only with a fixed Seat`},
		{"no store addresses", `["10.0.0.9:9000", "[fd00::9]:9000"]`, `[]`, `8:22: PlatformAddresses: empty list`},
		{"duplicate store address", `[fd00::9]:9000`, `10.0.0.9:9000`, `8:40: PlatformAddresses[1]: duplicate of PlatformAddresses[0], "10.0.0.9:9000"`},
		{"unspecified peer address", `10.0.0.1:8082`, `0.0.0.0:8082`, `7:16: PeerAddress: 0.0.0.0 is no address of one host`},
		{"same listen address", `127.0.0.1:8081`, `0.0.0.0:8080`, `6:20: OperatorAddress: same as CallerAddress`},
		{"incomplete TLS files", `"KeyFile": "k.pem",`, ``, `1:1: KeyFile: CertificateFile, KeyFile and AuthorityFile must all be set, or none`},
		{"negative seat", `"Name"`, `"Seat": -1, "Name"`, `2:9: Seat: -1 is less than 0`},
		{"seat type", `"Name"`, `"Seat": "1", "Name"`, `2:9: Seat: want a whole number, have a string`},
		{"unknown log level", `"Name"`, `"LogLevel": "loud", "Name"`, `2:13: LogLevel: loud is none of debug, info, warn, error`},
		{"stop time too short", `"Name"`, `"StopMillis": 0, "Name"`, `2:15: StopMillis: 0 is less than 1`},
		{"not an object", validSettings, `1`, `1:1: Settings: want an object, have a number 1`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Contains(t, validSettings, test.old)
			text := strings.Replace(validSettings, test.old, test.new, 1)
			s, faults := decoder.DecodeSettings("", []byte(text))
			require.Zero(t, s)
			require.Equal(t, test.want, faults.String())
		})
	}
}
