package spender

import (
	"fmt"

	tiller "github.com/carawaytiller/carawaytiller"
)

// ValidMillis is the time for which a token is valid and its outcome is remembered.
const ValidMillis = 10 * tiller.Minute

// State is what has become of a token.
type State uint8

// The states of a token.
const (
	// Unknown means that the table has no such token: it was never issued, or it has expired.
	Unknown State = iota
	// Expired means that the token was never spent and no longer can be.
	Expired
	// Spent means that the token was spent just now; its request may run.
	Spent
	// InUse means that the token was spent before and the outcome is not known yet.
	InUse
	// Done means that the token was spent before and the outcome is known.
	Done
	// Mismatch means that the token was spent before on another request.
	Mismatch
)

// Table holds the tokens issued by this process. It changes in place and has one owner.
type Table struct {
	limit  int
	issued uint64
	tokens map[string]entry
	// order lists the tokens in the order of issue, which is the order in which they expire.
	order []string
}

// entry is an issued token; it is replaced as a whole.
type entry struct {
	state   State
	expires tiller.Millis
	digest  uint64
	outcome tiller.Result
}

// issuedUnused is the state of a token that has not been spent.
const unspent = Unknown

// New returns a table for at most limit tokens.
func New(limit int) *Table {
	return &Table{limit: max(limit, 1), tokens: make(map[string]entry)}
}

// Len returns the number of tokens that are remembered.
func (t *Table) Len() int { return len(t.tokens) }

// Issue returns a new token of the process with the given seat and incarnation, and the time at which it
// expires. It fails when too many tokens are valid.
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

// Has says whether the token was issued by this process and is still remembered.
func (t *Table) Has(token string) bool {
	_, ok := t.tokens[token]
	return ok
}

// Unspent says whether the token was issued by this process and was not spent.
func (t *Table) Unspent(token string) bool {
	e, ok := t.tokens[token]
	return ok && e.state == unspent
}

// Spend spends a token on the request with the given digest. A token is Spent once; after that the state
// tells what became of the first request, and the outcome is set when it is Done.
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

// RecordOutcome records the outcome of the request on which a token was spent.
func (t *Table) RecordOutcome(token string, outcome tiller.Result) {
	e, ok := t.tokens[token]
	if !ok || e.state != InUse {
		return
	}
	e.state, e.outcome = Done, outcome
	t.tokens[token] = e
}

func (e entry) stateOnResend(digest uint64) (State, tiller.Result) {
	if e.digest != digest {
		return Mismatch, tiller.Result{}
	}
	return e.state, e.outcome
}

// expire forgets the oldest tokens. A token in use is kept until its outcome is known.
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
