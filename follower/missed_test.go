package follower

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/accountant"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/forwarder"
	"github.com/carawaytiller/carawaytiller/gatherer"
	"github.com/carawaytiller/carawaytiller/platform"
	"github.com/carawaytiller/carawaytiller/platform/faker"
)

// known is a Follower and the upstreams that it has announced as present.
type known struct {
	*Follower
	// source is how other daemons follow this one.
	source    source
	upstreams map[string]cataloger.Upstream
	// version is that of the configuration, out holds the failure domains that are out of service, members the other
	// daemons.
	version int64
	out     map[string]bool
	members []string
	// lost counts the reports that the daemon's own entry is missing.
	lost int
}

// ids returns the upstreams that are present, sorted.
func (k *known) ids() []string {
	ids := make([]string, 0, len(k.upstreams))
	for id := range k.upstreams {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// knowledge is a store, and the daemons that follow it or each other step by step.
type knowledge struct {
	t       *testing.T
	ctx     context.Context
	store   *faker.Store
	address string
	version int
	// passed is added to the time of all daemons.
	passed tiller.Millis
}

func newKnowledge(t *testing.T) *knowledge {
	store := faker.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	k := &knowledge{t: t, ctx: context.Background(), store: store, address: server.Listener.Addr().String()}
	k.register("i-stays")
	k.touch()
	return k
}

// touch writes an entry under each other prefix, so that the revision of a stale read is that of the newest entries.
func (k *knowledge) touch() {
	k.version++
	k.store.Put("op/config", fmt.Sprintf(`{"Version":%d,"Routes":[],"Services":[],"Limits":{}}`, k.version))
	k.store.Put("status/rollout/s", "{}")
	k.store.Put("fleet/members/vm", `{"VM":"vm","Address":"a","Region":"r"}`)
}

func (k *knowledge) register(id string) {
	k.store.Put("servers/"+id, `{"Service":"s","Address":"10.0.0.1:80","Zone":"a","State":"ready"}`)
}

// daemon returns a Follower that knows nothing yet.
func (k *knowledge) daemon() *known {
	d := &known{upstreams: make(map[string]cataloger.Upstream), out: make(map[string]bool)}
	emit := func(e gatherer.Event) {
		switch e := e.(type) {
		case gatherer.UpstreamChanged:
			d.upstreams[e.Upstream.ID] = e.Upstream
		case gatherer.UpstreamGone:
			delete(d.upstreams, e.ID)
		case gatherer.ConfigurationChanged:
			// A State ignores versions that are not newer.
			d.version = max(d.version, e.Configuration.Version)
		case gatherer.DomainEvacuated:
			d.out[e.Domain] = e.Out
		case gatherer.MembersChanged:
			d.members = nil
			for _, m := range e.Members {
				d.members = append(d.members, m.VM)
			}
			slices.Sort(d.members)
		}
	}
	account := accountant.New(1<<20, func(int64) {})
	system := tiller.SystemClock()
	clock := tiller.Clock{Now: func() tiller.Millis { return system.Now() + k.passed }}
	client := forwarder.New(clock, account, func(http.Header) string { return "" })
	d.Follower = New(clock, platform.NewStore(k.address, account), client, logr.Discard(), map[string]string{"a": "r"},
		cataloger.Member{VM: "vm-new"}, nil, NewTiming(0), Callbacks{Emit: emit, Lost: func() { d.lost++ }})
	server := httptest.NewServer(http.HandlerFunc(d.ServeChanges))
	k.t.Cleanup(server.Close)
	d.source = source{origin: fromPeer, member: cataloger.Member{Address: server.Listener.Addr().String()}, maxAge: tiller.Minute}
	return d
}

// started returns a daemon that has read the store and watched it once.
func (k *knowledge) started() *known {
	d := k.daemon()
	require.NoError(k.t, d.readAll(k.ctx, true))
	require.NoError(k.t, d.fetchChanges(k.ctx))
	return d
}

// follow makes a daemon ask another one for changes once.
func (k *knowledge) follow(d, other *known) {
	d.readsStore = false
	require.NoError(k.t, d.followRelay(k.ctx, other.source))
	require.Empty(k.t, d.excludedUntil)
}

// Guards against a daemon that follows another one and never learns of what was removed before that one's own
// knowledge began: it went on using an upstream that had left.
func TestRemovalBeforeSourceReadIsLearned(t *testing.T) {
	// Each case returns a daemon whose entries are newer than the removal of i-left, and the daemon that follows it.
	for name, play := range map[string]func(k *knowledge, leave func()) (follower, followed *known){
		"source has read the store": func(k *knowledge, leave func()) (*known, *known) {
			d := k.started()
			leave()
			return d, k.started()
		},
		"source has read a seed": func(k *knowledge, leave func()) (*known, *known) {
			d := k.started()
			leave()
			seed, s := k.started(), k.daemon()
			require.True(k.t, s.followSeed(k.ctx, seed.source.member.Address))
			return d, s
		},
		"source has received all entries from another daemon": func(k *knowledge, leave func()) (*known, *known) {
			k.store.Remove("servers/i-left")
			s := k.started()
			k.register("i-left")
			d := k.started()
			leave()
			k.follow(s, k.started())
			return d, s
		},
		"source has read the store again": func(k *knowledge, leave func()) (*known, *known) {
			k.store.Remove("servers/i-left")
			s := k.started()
			k.register("i-left")
			d := k.started()
			leave()
			require.NoError(k.t, s.readAll(k.ctx, false))
			return d, s
		},
	} {
		t.Run(name, func(t *testing.T) {
			k := newKnowledge(t)
			k.register("i-left")
			d, s := play(k, func() {
				k.store.Remove("servers/i-left")
				k.register("i-new")
				k.touch()
			})
			require.Equal(t, []string{"i-left", "i-stays"}, d.ids())
			k.follow(d, s)
			require.Equal(t, []string{"i-new", "i-stays"}, d.ids())
			// A daemon that follows the follower learns it as well.
			second := k.daemon()
			require.True(t, second.followSeed(k.ctx, d.source.member.Address))
			require.Equal(t, []string{"i-new", "i-stays"}, second.ids())
		})
	}
}

// Guards against a removal that is not handed on because the source never knew the entry: it was removed while the
// source read the store, whose pages are of different age.
func TestRemovalDuringSourceReadIsLearned(t *testing.T) {
	k := newKnowledge(t)
	k.register("i-left")
	d := k.started()
	s := k.daemon()
	items, position, err := s.store.Range(k.ctx, "", false)
	require.NoError(t, err)
	k.store.Remove("servers/i-left")
	k.register("i-new")
	items = slices.DeleteFunc(items, func(item platform.Item) bool { return item.Key == "servers/i-left" })
	s.applyAll(items, position, true)
	changes, position, err := s.store.Watch(k.ctx, "", position, 1)
	require.NoError(t, err)
	s.noteStoreAnswer()
	s.applyAll(changes, position, false)
	require.Equal(t, []string{"i-new", "i-stays"}, s.ids())
	k.follow(d, s)
	require.Equal(t, []string{"i-new", "i-stays"}, d.ids())
}

// Guards against a table of many entries that takes changes which it has discarded for known.
func TestDiscardedChangesOfLargeTableAreMissed(t *testing.T) {
	const entries = maxChanges + 500
	table := NewTable()
	table.Reset(2 * entries)
	// Entries are read by key and not by revision.
	for i := range int64(entries) {
		table.Apply(platform.Item{Key: fmt.Sprint(i), Revision: 2*entries - i})
	}
	table.Advance(platform.Position{Revision: 2 * entries})
	for i := range int64(entries) {
		table.Apply(platform.Item{Key: fmt.Sprint(i), Revision: 4*entries - i})
	}
	table.Advance(platform.Position{Revision: 4 * entries})
	for after := int64(1); after < 4*entries; after += 100 {
		update, _ := table.Since(platform.Position{Revision: after})
		changed := 0
		for i := range int64(entries) {
			if 4*entries-i > after {
				changed++
			}
		}
		require.True(t, update.Whole || len(update.Items) >= changed, "after %d: %d items of %d changed", after, len(update.Items), changed)
	}
}

// Guards against a read of the store that drops changes which are newer than its revision, so that a follower between
// the two never gets them.
func TestNewerChangesOutlastCompleteRead(t *testing.T) {
	table := NewTable()
	table.Reset(30)
	table.Apply(platform.Item{Key: "a", Revision: 55})
	table.Advance(platform.Position{Revision: 30})
	table.Reset(52)
	table.Advance(platform.Position{Revision: 60})
	update, _ := table.Since(platform.Position{Revision: 53})
	require.False(t, update.Whole)
	require.Equal(t, []platform.Item{{Key: "a", Revision: 55}}, update.Items)
	table.Reset(40)
	update, _ = table.Since(platform.Position{Revision: 45})
	require.True(t, update.Whole, "changes up to revision 52 were missed")
}

// Guards against a daemon's response without a valid status whose contents are applied as an update.
func TestUpdateWithoutValidStatusIsNotApplied(t *testing.T) {
	k := newKnowledge(t)
	s, d := k.started(), k.daemon()
	update, _ := s.table.Since(platform.Position{Revision: 0})
	body, err := s.encode(platform.Position{}, update)
	require.NoError(t, err)
	inside := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: 0\r\n%s: 0\r\nContent-Length: %d\r\n\r\n%s", ageHeader, holdHeader, len(body), body)
	for _, head := range []string{"", "HTTP/1.1 000 Trouble\r\n\r\n", "HTTP/1.1 099 Trouble\r\n\r\n", "HTTP/1.1 101 Trouble\r\n\r\n"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		go faker.ServeRaw(l, func(string) string { return head + inside })
		start := time.Now()
		require.Equal(t, head == "", d.followSeed(k.ctx, l.Addr().String()), head)
		require.Less(t, time.Since(start), 250*time.Millisecond)
		require.Equal(t, head == "", len(d.upstreams) > 0)
		d = k.daemon()
	}
}
