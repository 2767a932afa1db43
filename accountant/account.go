package accountant

import (
	"sync"

	"github.com/go-faster/errors"
)

// ErrLimit means that a message was cut off because the process holds as much as its limit allows.
var ErrLimit = errors.New("memory limit for received messages reached")

// Account counts the bytes that a process holds for received messages. Its methods may be called concurrently.
type Account struct {
	limit int64
	onCut func(bytes int64)

	mu     sync.Mutex
	lastID uint64
	// held is the sum of all holdings, growing those that may be cut off.
	held    int64
	growing map[uint64]*Holding
}

// New returns an Account that allows limit bytes. onCut is called with the size of each holding that is cut off. It must
// not block.
func New(limit int64, onCut func(bytes int64)) *Account {
	return &Account{limit: limit, onCut: onCut, growing: make(map[uint64]*Holding)}
}

// Held returns the number of bytes that are held.
func (a *Account) Held() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}

// Open returns an empty Holding, which must be released. If it is cut off for another one, abort is called once. It must
// make the reads or writes of the message fail, and must neither block nor call the Account.
func (a *Account) Open(abort func()) *Holding {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastID++
	return &Holding{account: a, id: a.lastID, abort: abort}
}

// makeRoom cuts off the largest holdings until there is room for n bytes more of h. It reports false if h is the
// largest itself.
func (a *Account) makeRoom(h *Holding, n int64) bool {
	asker := size{h.id, h.bytes + n}
	if h.protected {
		asker.bytes = 0 // all others give way
	}
	for a.held+n > a.limit {
		sizes := make([]size, 0, len(a.growing))
		for id, g := range a.growing {
			sizes = append(sizes, size{id, g.bytes})
		}
		id := choose(asker, sizes)
		if id == h.id {
			return false
		}
		victim := a.growing[id]
		a.cut(victim)
		victim.abort()
	}
	return true
}

func (a *Account) cut(h *Holding) {
	a.onCut(h.bytes)
	h.clear()
	h.cut = true
}

// Holding is the memory of one message. The methods of a nil Holding do nothing.
type Holding struct {
	account *Account
	id      uint64
	abort   func()
	// The lock of the account protects the other fields.
	bytes     int64
	protected bool
	cut       bool
}

// Add adds n bytes. It returns ErrLimit if the holding is or was cut off.
func (h *Holding) Add(n int64) error {
	if h == nil {
		return nil
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if !h.cut && !h.account.makeRoom(h, n) {
		h.account.cut(h)
	}
	if h.cut {
		return ErrLimit
	}
	h.grow(n)
	return nil
}

// AddHeld adds n bytes that are in memory already, so they count even beyond the limit.
func (h *Holding) AddHeld(n int64) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.makeRoom(h, n)
	if !h.cut {
		h.grow(n)
	}
}

func (h *Holding) grow(n int64) {
	h.bytes += n
	h.account.held += n
	if !h.protected {
		h.account.growing[h.id] = h
	}
}

// Protect keeps the holding from being cut off for others, because work on its message has begun, or because the daemon
// cannot serve without it.
func (h *Holding) Protect() {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.protected = true
	delete(h.account.growing, h.id)
}

// Reset empties the holding, which then covers the next message.
func (h *Holding) Reset() {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.clear()
	h.protected = false
}

// Release ends the holding. It may be called more than once.
func (h *Holding) Release() {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.clear()
	h.cut = true
}

func (h *Holding) clear() {
	h.account.held -= h.bytes
	h.bytes = 0
	delete(h.account.growing, h.id)
}

// WasCut reports whether the holding was cut off or released.
func (h *Holding) WasCut() bool {
	if h == nil {
		return false
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.cut
}
