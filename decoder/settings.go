package decoder

import (
	"reflect"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Settings are the settings of one daemon process.
type Settings struct {
	// Name identifies the VM in logs and in the seat directory.
	Name string
	// Domain is the failure domain of the VM.
	Domain string
	// Environment is "trial" or "production"; it selects the document.
	Environment string
	// CallerAddress is the IP address and port on which the daemon serves callers. Port 0 means any free port.
	CallerAddress string
	// OperatorAddress is the IP address and port on which the daemon serves operators. Port 0 means any free port.
	OperatorAddress string
	// PeerAddress is the IP address and UDP port at which the other daemons reach this one.
	// It is optional if Seat is set.
	PeerAddress string
	// PlatformAddresses are the addresses of the platform's store. They are optional if Seat is set.
	PlatformAddresses []string
	// CertificateFile, KeyFile and AuthorityFile are the PEM files for mutual TLS between daemons:
	// either all three are set or none.
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
	// Seat is a fixed seat for single-process use; nil means that the process claims a seat in the store.
	Seat *int
	// LogLevel is "debug", "info", "warn" or "error"; the default is "info".
	LogLevel string
	// StopMillis is the maximum duration of a planned stop, in milliseconds; the default is 30,000.
	StopMillis tiller.Millis
}

// logLevels lists the valid values of LogLevel.
var logLevels = []string{"debug", "info", "warn", "error"}

// DecodeSettings parses and validates the settings of a daemon. name is the file name given in faults; it may be empty.
// The settings are the zero value if there are faults.
func DecodeSettings(name string, text []byte) (Settings, Faults) {
	r := newReader(name, "Settings", text)
	tree, ok := r.parse(text)
	if !ok {
		return Settings{}, r.faults
	}
	var s Settings
	r.decodeField("", tree, reflect.ValueOf(&s).Elem())
	r.checkSettings(s)
	if len(r.faults) > 0 {
		return Settings{}, r.faults.sorted()
	}
	return s, nil
}

// checkSettings validates s and records every fault.
func (r *reader) checkSettings(s Settings) {
	r.checkName("Name", s.Name)
	r.checkName("Domain", s.Domain)
	r.checkOneOf("Environment", s.Environment, environments)
	r.checkListeners(s)
	r.checkPlatform(s)
	r.checkTLSFiles(s)
	if s.Seat != nil {
		checkRange(r, "Seat", *s.Seat, 0, maxSeats-1)
	}
	r.checkOneOf("LogLevel", s.LogLevel, logLevels)
	checkRange(r, "StopMillis", s.StopMillis, 1, maxStopMillis)
}

// checkListeners checks the addresses on which the daemon listens.
func (r *reader) checkListeners(s Settings) {
	caller, callerOK := r.parseAddress("CallerAddress", s.CallerAddress)
	operator, operatorOK := r.parseAddress("OperatorAddress", s.OperatorAddress)
	if callerOK && operatorOK && caller == operator && caller.Port() != 0 {
		r.addFaultAt("OperatorAddress", "same as CallerAddress")
	}
	if peer, ok := r.parseAddress("PeerAddress", s.PeerAddress); ok && peer.Addr().IsUnspecified() {
		r.addFaultAt("PeerAddress", "%s is no address of one host", peer.Addr())
	}
	r.requireWithoutSeat("PeerAddress", s)
}

// checkPlatform checks that the addresses of the platform's store are valid and unique.
func (r *reader) checkPlatform(s Settings) {
	r.requireWithoutSeat("PlatformAddresses", s)
	if s.Seat == nil {
		r.checkNotEmpty("PlatformAddresses", len(s.PlatformAddresses))
	}
	seen := map[string]string{}
	for i, value := range s.PlatformAddresses {
		path := indexPath("PlatformAddresses", i)
		if a, ok := r.parseRemoteAddress(path, value); ok {
			r.checkUnique(path, a.String(), seen)
		}
	}
}

// requireWithoutSeat records a fault if the field at path is absent and Seat is not set.
func (r *reader) requireWithoutSeat(path string, s Settings) {
	if _, present := r.fields[path]; !present && s.Seat == nil && r.decoded("") {
		r.addFaultAt(path, "missing required field; it is optional only with a fixed Seat")
	}
}

// checkTLSFiles checks that either all TLS files are set or none.
func (r *reader) checkTLSFiles(s Settings) {
	files := []struct{ path, value string }{
		{"CertificateFile", s.CertificateFile},
		{"KeyFile", s.KeyFile},
		{"AuthorityFile", s.AuthorityFile},
	}
	set := 0
	for _, f := range files {
		if f.value != "" {
			set++
		}
	}
	if set == 0 || set == len(files) {
		return
	}
	for _, f := range files {
		_, present := r.fields[f.path]
		if f.value == "" && (!present || r.decoded(f.path)) {
			r.addFaultAt(f.path, "CertificateFile, KeyFile and AuthorityFile must all be set, or none")
		}
	}
}
