package follower

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/forwarder"
)

// ChangesPath is the path at which a daemon hands changes of the store to daemons that follow it.
const ChangesPath = "/v1/changes"

// Headers of an update, which is encoded once for several daemons.
const (
	// ageHeader is the time in milliseconds since the store was last heard of.
	ageHeader = "Tiller-Age"
	// holdHeader is the time in milliseconds for which missing upstreams may still return.
	holdHeader = "Tiller-Hold"
)

const (
	// relayWaitMillis is the time that a daemon waits for changes at another one.
	relayWaitMillis = 1000 * tiller.Millis(1)
	// relayMarginMillis is the time that its reply may take beyond that.
	relayMarginMillis = 500
	// relayPenaltyMillis is the time for which a daemon that failed is not followed.
	relayPenaltyMillis = 5 * tiller.Second
	// stalePenaltyMillis is that for a daemon that has heard of the store too long ago. It asks the store
	// again within about a second.
	stalePenaltyMillis = 1 * tiller.Second
	// relayCandidates is the number of daemons of a region that are followed while the store serves this
	// daemon: the first one, and those that step in for it.
	relayCandidates = 3
)

// ServeChanges hands changes to a daemon that follows this one. It waits for changes when there
// are none.
func (f *Follower) ServeChanges(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a revision", http.StatusBadRequest)
		return
	}
	stale, err := strconv.ParseInt(r.URL.Query().Get("stale"), 10, 64)
	if err != nil {
		http.Error(w, "stale is not a number of milliseconds", http.StatusBadRequest)
		return
	}
	update, changed := f.table.Since(after)
	if wait := min(relayWaitMillis, tiller.Millis(stale)-f.age()); len(update.Items) == 0 && wait > 0 {
		timer := time.NewTimer(wait.Duration())
		defer timer.Stop()
		select {
		case <-changed:
			update, _ = f.table.Since(after)
		case <-timer.C:
		case <-r.Context().Done():
			return
		}
	}
	body, err := f.encode(after, update)
	if err != nil {
		f.log.Error(err, "Update cannot be encoded", "After", after)
		http.Error(w, "the update cannot be encoded", http.StatusInternalServerError)
		return
	}
	hold := max(tiller.Millis(f.trustAt.Load())-f.clock.Now(), 0)
	w.Header().Set(ageHeader, strconv.FormatInt(int64(f.age()), 10))
	w.Header().Set(holdHeader, strconv.FormatInt(int64(hold), 10))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	// A follower that has gone asks another daemon.
	_, _ = w.Write(body)
}

// encode returns an update compressed. Daemons that follow this one mostly ask for the same.
func (f *Follower) encode(after int64, u Update) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.encoded.body != nil && f.encoded.after == after && f.encoded.revision == u.Revision {
		return f.encoded.body, nil
	}
	var b bytes.Buffer
	z, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := cbor.NewEncoder(z).Encode(u); err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	f.encoded = encodedUpdate{after: after, revision: u.Revision, body: b.Bytes()}
	return f.encoded.body, nil
}

// encodedUpdate is the update from one revision to another as it is sent.
type encodedUpdate struct {
	after, revision int64
	body            []byte
}

// age returns the time since the store was last heard of, here or by the daemon that is followed.
func (f *Follower) age() tiller.Millis { return f.clock.Now() - tiller.Millis(f.heard.Load()) }

// origin says where changes come from next.
type origin uint8

const (
	fromStore origin = iota
	fromPeer
	// fromNone means that the store failed a moment ago and no other daemon knows more.
	fromNone
)

// source is where changes are asked for next.
type source struct {
	origin origin
	// member is the daemon to ask, for fromPeer.
	member cataloger.Member
	// stale is the age from which its knowledge is not taken over.
	stale tiller.Millis
}

// source returns where to ask next. In each region the daemon that ranks first asks the store. A daemon
// that the store turns away follows any other that can be reached, and tries the store now and then.
func (f *Follower) source() source {
	now := f.clock.Now()
	if f.failing() && now >= f.tryStoreAt {
		return source{origin: fromStore}
	}
	ranked := f.ranked()
	own := slices.IndexFunc(ranked, func(m cataloger.Member) bool { return m.VM == f.self.VM })
	if own < 0 {
		own = len(ranked)
	}
	for rank, m := range ranked {
		if !f.failing() && (rank >= min(own, relayCandidates) || m.Region != f.self.Region) {
			return source{origin: fromStore}
		}
		if rank != own && now >= f.penalty[m.VM] {
			return source{origin: fromPeer, member: m, stale: f.pace.Stale(own)}
		}
	}
	if f.failing() {
		return source{origin: fromNone}
	}
	return source{origin: fromStore}
}

// ranked returns the daemons of the fleet in the order in which they are followed: those of the own
// region first, the strong ones before the weak ones, whose links the updates would fill.
func (f *Follower) ranked() []cataloger.Member {
	ranked := make([]cataloger.Member, 0, len(f.members))
	for _, m := range f.members {
		if !m.Leaving {
			ranked = append(ranked, m)
		}
	}
	sort.Slice(ranked, func(i, j int) bool {
		a, b := ranked[i], ranked[j]
		if near := a.Region == f.self.Region; near != (b.Region == f.self.Region) {
			return near
		}
		if a.Power != b.Power {
			return a.Power > b.Power
		}
		return relayRank(a) > relayRank(b)
	})
	return ranked
}

func relayRank(m cataloger.Member) uint64 { return xxhash.Sum64String("relay\x00" + m.VM) }

// followRelay waits for changes at another daemon.
func (f *Follower) followRelay(ctx context.Context, from source) error {
	ctx, cancel := context.WithTimeout(ctx, (relayWaitMillis + relayMarginMillis).Duration())
	defer cancel()
	m := from.member
	update, err := f.askRelay(ctx, from)
	penalty := relayPenaltyMillis
	if err == nil && !f.failing() {
		penalty = stalePenaltyMillis
	}
	if err == nil && update.Age >= from.stale {
		err = errors.Errorf("it heard of the store %d ms ago", update.Age)
	}
	if err == nil && update.Revision < f.table.Revision() {
		err = errors.Errorf("it is at revision %d, behind %d", update.Revision, f.table.Revision())
	}
	if err != nil {
		f.penalty[m.VM] = f.clock.Now() + penalty
		f.log.Info("Daemon is not followed", "VM", m.VM, "Cause", err.Error(), "For", penalty)
		return nil
	}
	f.take(update)
	return nil
}

func (f *Follower) askRelay(ctx context.Context, from source) (Update, error) {
	var update Update
	q := url.Values{
		"after": {strconv.FormatInt(f.table.Revision(), 10)},
		"stale": {strconv.FormatInt(int64(from.stale), 10)},
	}
	resp, failure := f.client.Do(ctx, forwarder.Request{
		Address: from.member.Address, Key: ChangesPath, Method: http.MethodGet, Host: from.member.Address, Header: http.Header{},
		URI: ChangesPath + "?" + q.Encode(),
	})
	if failure != nil {
		return update, failure
	}
	if resp.Status != http.StatusOK {
		return update, errors.Errorf("it answered %d", resp.Status)
	}
	data, err := io.ReadAll(flate.NewReader(bytes.NewReader(resp.Body)))
	if err != nil {
		return update, errors.Wrap(err, "decompress its update")
	}
	if err := cbor.Unmarshal(data, &update); err != nil {
		return update, errors.Wrap(err, "decode its update")
	}
	age, err := strconv.ParseInt(resp.Header.Get(ageHeader), 10, 64)
	if err != nil {
		return update, errors.Wrap(err, "read the age of its update")
	}
	hold, err := strconv.ParseInt(resp.Header.Get(holdHeader), 10, 64)
	if err != nil {
		return update, errors.Wrap(err, "read the hold of its update")
	}
	update.Age, update.Hold = tiller.Millis(age), tiller.Millis(hold)
	return update, nil
}

// take applies the update of another daemon.
func (f *Follower) take(u Update) {
	now := f.clock.Now()
	f.heard.Store(int64(now - u.Age))
	f.trustAt.Store(max(f.trustAt.Load(), int64(now+u.Hold)))
	f.applyAll(u.Items, u.Revision, u.Whole)
}
