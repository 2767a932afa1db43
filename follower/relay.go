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
	"github.com/carawaytiller/carawaytiller/accountant"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/platform"
)

// ChangesPath is the path at which a daemon serves changes of the store to the daemons that follow it.
const ChangesPath = "/v1/changes"

// Headers of the response with an update. They are kept out of the body, which is encoded once for
// several daemons.
const (
	// ageHeader is the time in milliseconds since the store's last known answer.
	ageHeader = "Tiller-Age"
	// holdHeader is the time in milliseconds for which missing upstreams may still register again.
	holdHeader = "Tiller-Hold"
)

const (
	// relayWaitMillis is the longest time that a request for changes waits at another daemon.
	relayWaitMillis = 1000 * tiller.Millis(1)
	// relayMarginMillis is the additional time that the reply may take.
	relayMarginMillis = 500
	// relayExclusionMillis is the time for which a daemon that failed as a source is not used.
	relayExclusionMillis = 5 * tiller.Second
	// staleExclusionMillis is the time for which a daemon with outdated data is not used. It applies
	// while this daemon's own store calls succeed. The other daemon calls the store again within about a second.
	staleExclusionMillis = 1 * tiller.Second
	// maxUpdateBytes bounds a decompressed update.
	maxUpdateBytes = 64 << 20
	// maxRelays is the number of daemons of a region that may be followed while the store answers this
	// daemon: the one that ranks first and its substitutes.
	maxRelays = 3
)

// ServeChanges serves changes to a daemon that follows this one. If there are none, it waits for up to
// relayWaitMillis, but not longer than until its data is too old for the caller.
func (f *Follower) ServeChanges(w http.ResponseWriter, r *http.Request) {
	after, err := f.requestedPosition(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	stale, err := strconv.ParseInt(r.URL.Query().Get("stale"), 10, 64)
	if err != nil {
		http.Error(w, "stale is not a number of milliseconds", http.StatusBadRequest)
		return
	}
	update, changed := f.table.Since(after)
	wait := min(relayWaitMillis, tiller.Millis(stale)-f.dataAge())
	if update.Revision == 0 {
		// This daemon is starting as well. A daemon for which it is a seed waits for its first read.
		wait = relayWaitMillis
	}
	if len(update.Items) == 0 && wait > 0 {
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
		f.log.Error(err, "Update cannot be encoded", "After", after.Revision, "Era", after.Era)
		http.Error(w, "the update cannot be encoded", http.StatusInternalServerError)
		return
	}
	grace := max(tiller.Millis(f.graceEnd.Load())-f.clock.Now(), 0)
	w.Header().Set(ageHeader, strconv.FormatInt(int64(f.dataAge()), 10))
	w.Header().Set(holdHeader, strconv.FormatInt(int64(grace), 10))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	// The error is ignored: a caller that has closed the connection asks another daemon.
	_, _ = w.Write(body)
}

// requestedPosition returns the position that the query of a request for changes names. Daemons of earlier versions
// name no era; they are answered as if they were in this daemon's.
func (f *Follower) requestedPosition(q url.Values) (platform.Position, error) {
	revision, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		return platform.Position{}, errors.Errorf("after is %q, want a revision", q.Get("after"))
	}
	if !q.Has("era") {
		return platform.Position{Era: f.table.Position().Era, Revision: revision}, nil
	}
	era, err := strconv.ParseInt(q.Get("era"), 10, 64)
	if err != nil {
		return platform.Position{}, errors.Errorf("era is %q, want a whole number", q.Get("era"))
	}
	return platform.Position{Era: era, Revision: revision}, nil
}

// encode returns the compressed encoding of an update. It caches the last one, because the daemons
// that follow this one mostly request the same update.
func (f *Follower) encode(after platform.Position, u Update) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.encoded.body != nil && f.encoded.after == after && f.encoded.to == u.position() {
		return f.encoded.body, nil
	}
	var b bytes.Buffer
	z, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress update")
	}
	if err := cbor.NewEncoder(z).Encode(u); err != nil {
		return nil, errors.Wrap(err, "encode update")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrap(err, "compress update")
	}
	f.encoded = encodedUpdate{after: after, to: u.position(), body: b.Bytes()}
	return f.encoded.body, nil
}

// encodedUpdate is the encoding of the update from one position to another.
type encodedUpdate struct {
	after, to platform.Position
	body      []byte
}

// dataAge returns the time since the store's last answer to this daemon or to a daemon that it
// follows.
func (f *Follower) dataAge() tiller.Millis { return f.clock.Now() - tiller.Millis(f.contactAt.Load()) }

// origin is the kind of a source.
type origin uint8

const (
	fromStore origin = iota
	fromPeer
	// fromNone means that the store failed recently and no other daemon can be asked.
	fromNone
)

// source is where changes are requested next.
type source struct {
	origin origin
	// member is the daemon to ask if origin is fromPeer.
	member cataloger.Member
	// maxAge is the age from which the data of member is not used.
	maxAge tiller.Millis
}

// nextSource returns where to request changes next. In each region the daemon that ranks first watches
// the store. A daemon whose store calls fail follows any other daemon that it can reach, and calls the
// store again from time to time.
func (f *Follower) nextSource() source {
	now := f.clock.Now()
	if f.storeFailing() && now >= f.storeRetryAt {
		return source{origin: fromStore}
	}
	ranked := f.rankedMembers()
	ownRank := slices.IndexFunc(ranked, func(m cataloger.Member) bool { return m.VM == f.self.VM })
	if ownRank < 0 {
		ownRank = len(ranked)
	}
	for rank, m := range ranked {
		if !f.storeFailing() && (rank >= min(ownRank, maxRelays) || m.Region != f.self.Region) {
			return source{origin: fromStore}
		}
		if rank != ownRank && now >= f.excludedUntil[m.VM] {
			return source{origin: fromPeer, member: m, maxAge: f.timing.MaxAge(ownRank)}
		}
	}
	if f.storeFailing() {
		return source{origin: fromNone}
	}
	return source{origin: fromStore}
}

// rankedMembers returns the daemons that are not leaving, in the order in which they are followed:
// those of the own region first, then by descending power, because updates would saturate the links of
// weak VMs.
func (f *Follower) rankedMembers() []cataloger.Member {
	ranked := make([]cataloger.Member, 0, len(f.members))
	for _, m := range f.members {
		if !m.Leaving {
			ranked = append(ranked, m)
		}
	}
	sort.Slice(ranked, func(i, j int) bool {
		a, b := ranked[i], ranked[j]
		if inRegion := a.Region == f.self.Region; inRegion != (b.Region == f.self.Region) {
			return inRegion
		}
		if a.Power != b.Power {
			return a.Power > b.Power
		}
		return relayHash(a) > relayHash(b)
	})
	return ranked
}

func relayHash(m cataloger.Member) uint64 { return xxhash.Sum64String("relay\x00" + m.VM) }

// followRelay waits for changes at another daemon and applies them. A daemon that fails or has
// outdated data is excluded for some time.
func (f *Follower) followRelay(ctx context.Context, from source) error {
	ctx, cancel := context.WithTimeout(ctx, (relayWaitMillis + relayMarginMillis).Duration())
	defer cancel()
	m := from.member
	update, err := f.fetchUpdate(ctx, from)
	exclusion := relayExclusionMillis
	if err == nil && !f.storeFailing() {
		exclusion = staleExclusionMillis
	}
	if err == nil && update.Age >= from.maxAge {
		err = errors.Errorf("its last answer from the store is %d ms old, the limit is %d ms", update.Age, from.maxAge)
	}
	if err == nil {
		err = checkContinues(f.table.Position(), update)
	}
	if err != nil {
		f.excludedUntil[m.VM] = f.clock.Now() + exclusion
		f.log.Info("Daemon is not followed", "VM", m.VM, "Cause", err.Error(), "For", exclusion)
		return nil
	}
	f.applyUpdate(update)
	if update.Whole {
		f.log.Info("Read another daemon", "VM", m.VM, "Era", update.Era, "Revision", update.Revision, "Keys", len(update.Items), "Age", update.Age)
	}
	return nil
}

// checkContinues returns an error if an update does not lead on from a position: it is older, or its changes are of a
// later era.
func checkContinues(from platform.Position, u Update) error {
	switch to := u.position(); {
	case to.Before(from):
		return errors.Errorf("its revision %d of era %d is older than the own revision %d of era %d", to.Revision, to.Era, from.Revision, from.Era)
	case to.Era != from.Era && !u.Whole:
		return errors.Errorf("its changes are of era %d, the own entries of era %d", to.Era, from.Era)
	}
	return nil
}

func (f *Follower) fetchUpdate(ctx context.Context, from source) (Update, error) {
	var update Update
	after := f.table.Position()
	q := url.Values{
		"after": {strconv.FormatInt(after.Revision, 10)},
		"era":   {strconv.FormatInt(after.Era, 10)},
		"stale": {strconv.FormatInt(int64(from.maxAge), 10)},
	}
	r := changesRequest(from.member.Address)
	r.URI += "?" + q.Encode()
	resp, failure := f.client.Do(ctx, r)
	defer resp.Holding.Release()
	if failure != nil {
		return update, failure
	}
	if resp.Status != http.StatusOK {
		return update, errors.Errorf("unexpected status %d", resp.Status)
	}
	data, err := decompress(resp.Body, resp.Holding)
	if err != nil {
		return update, errors.Wrap(err, "decompress update")
	}
	if err := cbor.Unmarshal(data, &update); err != nil {
		return update, errors.Wrap(err, "decode update")
	}
	age, err := strconv.ParseInt(resp.Header.Get(ageHeader), 10, 64)
	if err != nil {
		return update, errors.Wrapf(err, "parse header %s", ageHeader)
	}
	grace, err := strconv.ParseInt(resp.Header.Get(holdHeader), 10, 64)
	if err != nil {
		return update, errors.Wrapf(err, "parse header %s", holdHeader)
	}
	update.Age, update.Hold = tiller.Millis(age), tiller.Millis(grace)
	return update, nil
}

// decompress returns the contents of an update, which are added to held. A small body may decompress to a thousand times
// its size.
func decompress(body []byte, held *accountant.Holding) ([]byte, error) {
	limited := &io.LimitedReader{R: flate.NewReader(bytes.NewReader(body)), N: maxUpdateBytes + 1}
	data, err := io.ReadAll(accountant.Reader{R: limited, Holding: held})
	if err == nil && limited.N <= 0 {
		err = errors.Errorf("update exceeds %d bytes", maxUpdateBytes)
	}
	return data, err
}

// applyUpdate applies the update of another daemon.
func (f *Follower) applyUpdate(u Update) {
	now := f.clock.Now()
	f.contactAt.Store(int64(now - u.Age))
	f.graceEnd.Store(max(f.graceEnd.Load(), int64(now+u.Hold)))
	f.applyAll(u.Items, u.position(), u.Whole)
}
