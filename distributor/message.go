package distributor

import tiller "github.com/carawaytiller/carawaytiller"

// Message is one message between two daemons. Exactly one of its parts is set.
type Message struct {
	Digest *Digest
	Pull   *Pull
	Push   *Push
}

// Digest tells what the sender has.
type Digest struct {
	Revision int64
	Hash     uint64
	// Age is the time in milliseconds since the store is known to have held this revision as its newest.
	Age tiller.Millis
	// FactsHash is the hash of all facts.
	FactsHash uint64
}

// Pull asks for what the sender lacks.
type Pull struct {
	// Revision is the revision that the sender has.
	Revision int64
	// Buckets are the hashes of the sender's buckets of facts; empty when only the document is wanted.
	Buckets []uint64
}

// Push carries what the receiver is thought to lack.
type Push struct {
	// Patches lead from the receiver's revision to the sender's, in order.
	Patches []Patch
	// Document is the whole document, when no patches are kept for the receiver's revision.
	Document *tiller.Document
	Age      tiller.Millis
	Facts    []Fact
	// Buckets are the buckets that Facts holds whole; the receiver sends back what the sender lacks of them.
	Buckets []int
}

// Envelope is a message and the seat that it goes to.
type Envelope struct {
	To      int
	Message Message
}
