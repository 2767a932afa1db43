package spender

import (
	"fmt"
	"strconv"
	"strings"
)

// Token identifies the process that issued it, by seat and incarnation, and is unique there by its nonce.
type Token struct {
	Seat        int
	Incarnation int64
	Nonce       string
}

// String returns the form that callers receive and send: SEAT.INCARNATION.NONCE.
func (t Token) String() string {
	return fmt.Sprintf("%d.%d.%s", t.Seat, t.Incarnation, t.Nonce)
}

// Parse parses the form that String returns and reports whether s is well-formed.
func Parse(s string) (Token, bool) {
	seat, rest, ok := strings.Cut(s, ".")
	if !ok {
		return Token{}, false
	}
	incarnation, nonce, ok := strings.Cut(rest, ".")
	if !ok || nonce == "" {
		return Token{}, false
	}
	n, err := strconv.Atoi(seat)
	if err != nil || n < 0 {
		return Token{}, false
	}
	i, err := strconv.ParseInt(incarnation, 10, 64)
	if err != nil {
		return Token{}, false
	}
	return Token{Seat: n, Incarnation: i, Nonce: nonce}, true
}
