package demonstrator

import (
	"context"
	"sync"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/assembler"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// exchange joins the daemons of one process by function calls.
type exchange struct {
	mu      sync.RWMutex
	daemons map[int]*assembler.Daemon
}

func newExchange() *exchange {
	return &exchange{daemons: make(map[int]*assembler.Daemon)}
}

// peers returns what the daemon of a seat reaches the others by.
func (x *exchange) peers(seat int) *assembler.Peers {
	return &assembler.Peers{
		Forward: func(ctx context.Context, f reducer.Forward) (tiller.Result, error) {
			peer := x.get(f.Seat)
			if peer == nil {
				return tiller.Result{}, tiller.NewFailure(tiller.NotRun, tiller.ReasonOwnerLost, nil)
			}
			result := peer.Submit(ctx, f.Query, seat, f.Redirects)
			if x.get(f.Seat) != peer {
				// The peer was killed meanwhile; its reply would not have arrived.
				return tiller.Result{}, tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonOwnerLost, nil)
			}
			return result, nil
		},
		SendLease: func(e reducer.SendLease) {
			if peer := x.get(e.To); peer != nil {
				// A goroutine keeps two daemons that write to each other from blocking each other.
				go peer.ReceiveLease(seat, e.Message)
			}
		},
		// Every daemon has the document before the first query.
		SpreadMillis: 1,
	}
}

func (x *exchange) get(seat int) *assembler.Daemon {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.daemons[seat]
}

// set adds the daemon of a seat, or removes it when d is nil.
func (x *exchange) set(seat int, d *assembler.Daemon) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if d == nil {
		delete(x.daemons, seat)
		return
	}
	x.daemons[seat] = d
}
