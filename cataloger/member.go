package cataloger

// Member is a daemon of the fleet as it announces itself to the others.
type Member struct {
	// VM is the name of the machine.
	VM string
	// Address is host and port of the interface for other daemons.
	Address string
	Domain  string
	Region  string
	// Power is the processor share of the VM in thousandths of a core.
	Power int
	// Incarnation is the time of the daemon's start in nanoseconds since the Unix epoch. It differs between
	// the starts on one VM.
	Incarnation int64
	// Leaving says that the daemon is stopping and takes no more sub-queries.
	Leaving bool
}
