package distributor

import tiller "github.com/carawaytiller/carawaytiller"

// Message is one message between two daemons. Exactly one field is set.
type Message struct {
	Digest *Digest
	Pull   *Pull
	Push   *Push
}

// Digest summarizes the sender's state.
type Digest struct {
	Revision int64
	Hash     uint64
	// Age is the time in milliseconds since the revision was last confirmed as the newest in the store;
	// -1 when it never was.
	Age tiller.Millis
	// FactsHash is the hash of all facts.
	FactsHash uint64
}

// Pull requests what the sender does not have.
type Pull struct {
	// Revision is the revision in force at the sender.
	Revision int64
	// Buckets are the hashes of the sender's buckets of facts; empty when only the document is requested.
	Buckets []uint64
}

// Push carries changes that the receiver may not have.
type Push struct {
	// Patches lead from the receiver's revision to the sender's, in order.
	Patches []Patch
	// Document is the whole document. It is sent when the sender has no patches for the receiver's revision.
	Document *tiller.Document
	// Age is the age of the sender's revision, as in Digest; -1 also when the push holds only facts.
	Age   tiller.Millis
	Facts []Fact
	// Buckets are the numbers of the buckets from which Facts was read. The receiver sends back its facts of
	// these buckets that Facts does not hold or holds in a lower version.
	Buckets []int
}

// Envelope is a message with the seat of its receiver.
type Envelope struct {
	To      int
	Message Message
}
