package spender

import (
	"fmt"

	tiller "github.com/carawaytiller/carawaytiller"
)

// ValidMillis is the time from issue for which a token is valid and its outcome is kept.
const ValidMillis = 10 * tiller.Minute

// State is the state of a token.
type State uint8

// The states of a token.
const (
	// Unknown means that the table has no such token: it was never issued, or it was removed after it expired.
	Unknown State = iota
	// Expired means that the token expired without having been spent.
	Expired
	// Spent means that this call spent the token. The request may run.
	Spent
	// InUse means that the token was spent before on the same request, whose outcome is not known yet.
	InUse
	// Done means that the token was spent before on the same request, whose outcome is known.
	Done
	// Mismatch means that the token was spent before on a different request.
	Mismatch
)

// Table holds the tokens issued by this process. It is mutable and must not be used concurrently.
type Table struct {
	limit  int
	issued uint64
	tokens map[string]entry
	// order lists the tokens in the order of issue, which is also the order of expiry.
	order []string
}

// entry is the state of an issued token. It is immutable: a change replaces it in the table.
type entry struct {
	state   State
	expires tiller.Millis
	digest  uint64
	outcome tiller.Result
}

// unspent is the stored state of a token that was issued and not spent.
const unspent = Unknown

// New returns an empty Table for at most limit tokens. A limit below 1 counts as 1.
func New(limit int) *Table {
	return &Table{limit: max(limit, 1), tokens: make(map[string]entry)}
}

// Len returns the number of tokens in the table, including used ones.
func (t *Table) Len() int { return len(t.tokens) }

// Issue returns a new token for the process with the given seat and incarnation, and the time at which it
// expires. It returns false when the table is full.
func (t *Table) Issue(now tiller.Millis, seat int, incarnation int64, random uint64) (Token, tiller.Millis, bool) {
	t.removeExpired(now)
	if len(t.tokens) >= t.limit {
		return Token{}, 0, false
	}
	t.issued++
	token := Token{Seat: seat, Incarnation: incarnation, Nonce: fmt.Sprintf("%x-%016x", t.issued, random)}
	expires := now + ValidMillis
	text := token.String()
	t.tokens[text] = entry{state: unspent, expires: expires}
	t.order = append(t.order, text)
	return token, expires, true
}

// Has reports whether the token was issued by this process and is still in the table.
func (t *Table) Has(token string) bool {
	_, ok := t.tokens[token]
	return ok
}

// Unspent reports whether the token is in the table and was not spent.
func (t *Table) Unspent(token string) bool {
	e, ok := t.tokens[token]
	return ok && e.state == unspent
}

// Spend uses a token for the request with the given digest. It returns Spent at most once for each token.
// Later calls return the state of the request that used the token, with its outcome when the state is Done.
func (t *Table) Spend(now tiller.Millis, token string, digest uint64) (State, tiller.Result) {
	e, ok := t.tokens[token]
	if !ok {
		t.removeExpired(now)
		return Unknown, tiller.Result{}
	}
	if e.state != unspent {
		return e.stateOnResend(digest)
	}
	if now >= e.expires {
		return Expired, tiller.Result{}
	}
	e.state, e.digest = InUse, digest
	t.tokens[token] = e
	return Spent, tiller.Result{}
}

// RecordOutcome stores the outcome of the request that used the token. It has no effect unless the token is InUse.
func (t *Table) RecordOutcome(token string, outcome tiller.Result) {
	e, ok := t.tokens[token]
	if !ok || e.state != InUse {
		return
	}
	e.state, e.outcome = Done, outcome
	t.tokens[token] = e
}

// stateOnResend returns the result of Spend for a token that was spent before.
func (e entry) stateOnResend(digest uint64) (State, tiller.Result) {
	if e.digest != digest {
		return Mismatch, tiller.Result{}
	}
	return e.state, e.outcome
}

// removeExpired removes expired tokens, oldest first. It stops at a token in use, which is kept until its
// outcome is known.
func (t *Table) removeExpired(now tiller.Millis) {
	for len(t.order) > 0 {
		e := t.tokens[t.order[0]]
		if now < e.expires || e.state == InUse {
			return
		}
		delete(t.tokens, t.order[0])
		t.order = t.order[1:]
	}
}
