package cataloger

// Member is the entry that a daemon publishes for the other daemons of the fleet.
type Member struct {
	// VM is the name of the VM that the daemon runs on.
	VM string
	// Address is the host and port at which the daemon serves other daemons.
	Address string
	Domain  string
	Region  string
	// Power is the processor share of the VM in thousandths of a core.
	Power int
	// Incarnation is the start time of the daemon in nanoseconds since the Unix epoch. It differs
	// between starts on the same VM.
	Incarnation int64
	// Leaving reports whether the daemon is stopping and accepts no more sub-queries.
	Leaving bool
}
