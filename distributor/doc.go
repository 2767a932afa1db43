// Package distributor spreads the operators' document and small shared facts between daemons
// by gossip: a change is pushed to a few random peers at once, and every daemon compares
// what it has with one random peer each second. Times are in milliseconds.
//
// The document moves by patches from one revision to a later one and is replaced as a whole,
// so a daemon never serves a mixture of two revisions, and never a lower revision after a higher one.
package distributor
