package joiner

import (
	"github.com/go-logr/logr"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/messenger"
)

// Config holds what a Member depends on. Every field is required but the last two.
type Config struct {
	Clock  tiller.Clock
	Logger logr.Logger
	// Name identifies the VM, Domain its failure domain.
	Name        string
	Domain      string
	Environment string
	// CallerAddress, OperatorAddress and PeerAddress are the addresses to listen on; the last one is UDP.
	// Port 0 takes a free one.
	CallerAddress   string
	OperatorAddress string
	PeerAddress     string
	// PlatformAddresses are the addresses of the platform.
	PlatformAddresses []string
	Keys              *messenger.Keys
	// DrainMillis is the part of a planned stop for which the daemon still takes new work.
	DrainMillis tiller.Millis
	// PropagationMillis is the time within which a document is in force everywhere; 0 means the bound of the target size.
	PropagationMillis tiller.Millis
}
