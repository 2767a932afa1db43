// Package distributor replicates the operators' document and small facts between daemons by gossip:
// a change is pushed to a few random peers immediately, and every daemon compares its state with that
// of one random peer each second. Times are in milliseconds.
//
// Each daemon has one revision of the document in force, and replaces it as a whole when a patch or a
// document brings a later one. A daemon therefore never serves a mixture of two revisions, and never a
// lower revision after a higher one.
package distributor
