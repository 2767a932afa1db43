package joiner

import (
	"github.com/go-logr/logr"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/messenger"
)

// Config holds the dependencies of a Member. All fields but DrainMillis and SpreadMillis are required.
type Config struct {
	Clock  tiller.Clock
	Logger logr.Logger
	// Name is the name of the VM, Domain that of its failure domain.
	Name        string
	Domain      string
	Environment string
	// CallerAddress and OperatorAddress are the TCP addresses to listen on, PeerAddress is the UDP address.
	// Port 0 selects a free port.
	CallerAddress   string
	OperatorAddress string
	PeerAddress     string
	// PlatformAddresses are the addresses of the platform.
	PlatformAddresses []string
	Keys              *messenger.Keys
	// DrainMillis is the time at the start of a planned stop in which the daemon still accepts new work.
	DrainMillis tiller.Millis
	// PropagationMillis is the time within which all daemons have applied a document. 0 means the bound for a fleet
	// of the target size.
	PropagationMillis tiller.Millis
}
