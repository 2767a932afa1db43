package follower

import (
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// restoredFleet is a store that comes back from copies, and daemons that learn of it in different ways.
type restoredFleet struct {
	*knowledge
	// reader reads the store, first follows it, second follows first. frozen reads the store too, but not before
	// the end of a test.
	reader, first, second, frozen *known
}

func newRestoredFleet(t *testing.T) *restoredFleet {
	k := newKnowledge(t)
	k.store.SetEra(1)
	for _, id := range []string{"i-drains", "i-leaves"} {
		k.register(id)
	}
	return &restoredFleet{knowledge: k, reader: k.informed(), first: k.informed(), second: k.informed(), frozen: k.informed()}
}

// informed returns a daemon that has read the store.
func (k *knowledge) informed() *known {
	d := k.daemon()
	require.NoError(k.t, d.readAll(k.ctx, false))
	return d
}

// pass lets the daemons that are not frozen learn of the latest changes.
func (f *restoredFleet) pass() {
	require.NoError(f.t, f.reader.fetchChanges(f.ctx))
	f.follow(f.first, f.reader)
	f.follow(f.second, f.first)
}

// configure writes the next version of the configuration.
func (k *knowledge) configure() {
	k.version++
	k.store.Put("op/config", fmt.Sprintf(`{"Version":%d,"Routes":[],"Services":[],"Limits":{}}`, k.version))
}

func (k *knowledge) drain(id string) {
	k.store.Put("servers/"+id, `{"Service":"s","Address":"10.0.0.1:80","Zone":"a","State":"draining"}`)
}

// expire lets the time pass in which states of an earlier era are kept.
func (k *knowledge) expire(daemons ...*known) {
	k.passed += reregisterMillis
	for _, d := range daemons {
		d.removeExpired()
	}
}

// Guards against a store that comes back from a copy and whose later changes are never in force: a route moved to
// another service, and a server that drained or left, were not learnt.
func TestChangesAfterReturnFromCopyAreApplied(t *testing.T) {
	for name, play := range map[string]func(f *restoredFleet){
		"the store lacks the known revision": func(f *restoredFleet) {
			c := f.store.Copy()
			for range 5 {
				f.configure()
			}
			f.pass()
			f.store.Restore(c)
			f.pass()
		},
		"new revisions overtake the known one": func(f *restoredFleet) {
			c := f.store.Copy()
			f.configure()
			f.pass()
			f.store.Restore(c)
		},
		"the store is at the known revision": func(f *restoredFleet) {
			c := f.store.Copy()
			f.configure()
			f.configure()
			f.pass()
			f.store.Restore(c)
			f.register("i-new")
			f.register("i-other")
			require.NoError(f.t, f.reader.fetchChanges(f.ctx))
		},
		"it comes back twice": func(f *restoredFleet) {
			c := f.store.Copy()
			for range 5 {
				f.configure()
			}
			f.pass()
			f.store.Restore(c)
			f.configure()
			f.pass()
			f.store.Restore(c)
		},
		"it comes back twice unnoticed": func(f *restoredFleet) {
			c := f.store.Copy()
			f.configure()
			f.pass()
			f.store.Restore(c)
			f.register("i-lost")
			f.store.Restore(c)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRestoredFleet(t)
			play(f)
			f.store.Remove("servers/i-leaves")
			f.drain("i-drains")
			f.store.Put("op/evacuate/a", "{}")
			f.configure()
			f.configure()
			f.pass()
			started := f.informed()
			require.NoError(t, f.frozen.fetchChanges(f.ctx))
			f.expire(f.reader, f.first, f.second, f.frozen, started)
			for name, d := range map[string]*known{"reader": f.reader, "first": f.first, "second": f.second, "frozen": f.frozen, "started": started} {
				require.EqualValues(t, f.version, d.version, name)
				require.NotContains(t, d.upstreams, "i-leaves", name)
				require.True(t, d.upstreams["i-drains"].Draining, name)
				require.False(t, d.upstreams["i-stays"].Draining, name)
				require.True(t, d.out["a"], name)
				require.Equal(t, started.ids(), d.ids(), name)
			}
		})
	}
}

// Guards against a copy that takes back what was acknowledged before the store went away: a server that drains got
// requests again, a failure domain that is out of service too, and daemons were gone, until all had written again.
func TestKnownStateOutlastsReturnFromCopy(t *testing.T) {
	for name, rewritten := range map[string]bool{"written again": true, "not written again": false} {
		t.Run(name, func(t *testing.T) {
			f := newRestoredFleet(t)
			c := f.store.Copy()
			write := func() {
				f.drain("i-drains")
				f.register("i-late")
				f.store.Put("op/evacuate/a", "{}")
				f.store.Put("fleet/members/vm-late", `{"VM":"vm-late","Address":"b","Region":"r"}`)
			}
			write()
			f.pass()
			f.store.Restore(c)
			f.pass()
			daemons := map[string]*known{"reader": f.reader, "first": f.first, "second": f.second}
			holds := func(want bool) {
				for name, d := range daemons {
					_, late := d.upstreams["i-late"]
					require.Equal(t, want, late, name)
					require.Equal(t, want, d.upstreams["i-drains"].Draining, name)
					require.Equal(t, want, d.out["a"], name)
					members := []string{"vm"}
					if want {
						members = append(members, "vm-late")
					}
					require.Equal(t, members, d.members, name)
				}
			}
			holds(true)
			if rewritten {
				write()
				f.pass()
				holds(true)
			}
			f.expire(f.reader, f.first, f.second)
			holds(rewritten)
		})
	}
}

// Guards against a second return shortly after the first one, at which the time for writing again begins anew.
func TestSecondReturnFromCopyExtendsKnownState(t *testing.T) {
	f := newRestoredFleet(t)
	c := f.store.Copy()
	f.register("i-late")
	f.store.Put("op/evacuate/a", "{}")
	f.pass()
	f.store.Restore(c)
	f.pass()
	f.passed += reregisterMillis / 2
	f.store.Restore(c)
	f.pass()
	f.passed += reregisterMillis / 2
	for _, d := range []*known{f.reader, f.first, f.second} {
		d.removeExpired()
		require.Contains(t, d.upstreams, "i-late")
		require.True(t, d.out["a"])
	}
	f.passed += reregisterMillis / 2
	for _, d := range []*known{f.reader, f.first, f.second} {
		d.removeExpired()
		require.NotContains(t, d.upstreams, "i-late")
		require.False(t, d.out["a"])
	}
}

// Guards against a daemon whose entry the copy lacks, or has of an earlier process, and that is announced again only when
// its lease is renewed or that of the earlier process has ended.
func TestOwnEntryLostWithCopyIsReportedAtOnce(t *testing.T) {
	for _, inCopy := range []bool{false, true} {
		f := newRestoredFleet(t)
		if inCopy {
			f.store.Put("fleet/members/vm-new", `{"VM":"vm-new","Address":"b","Region":"r","Incarnation":1}`)
		}
		c := f.store.Copy()
		f.store.Put("fleet/members/vm-new", `{"VM":"vm-new","Address":"b","Region":"r","Incarnation":2}`)
		f.pass()
		f.store.Restore(c)
		f.pass()
		for _, d := range []*known{f.reader, f.first, f.second} {
			require.Equal(t, 1, d.lost)
		}
	}
}

// recordedAnswer is an answer of the store that arrives late.
type recordedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// Guards against an answer of an earlier era that arrives late and whose states replace newer ones, or whose entries
// are mixed with those of the later era.
func TestLateAnswerOfEarlierEraIsDiscarded(t *testing.T) {
	f := newRestoredFleet(t)
	var replay map[string]recordedAnswer
	recorded := make(map[string]recordedAnswer)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := r.URL.Path + " " + r.URL.Query().Get("Prefix")
		answer, ok := replay[key]
		if !ok {
			recorder := httptest.NewRecorder()
			f.store.ServeHTTP(recorder, r)
			answer = recordedAnswer{recorder.Code, recorder.Header(), recorder.Body.Bytes()}
			recorded[key] = answer
		}
		for name, values := range answer.header {
			w.Header()[name] = values
		}
		w.WriteHeader(answer.status)
		_, _ = w.Write(answer.body)
	}))
	t.Cleanup(server.Close)
	f.address = server.Listener.Addr().String()
	d := f.informed()
	c := f.store.Copy()
	for range 5 {
		f.register("i-before")
	}
	require.NoError(t, d.fetchChanges(f.ctx))
	require.NoError(t, d.readAll(f.ctx, false))
	old := maps.Clone(recorded)
	f.pass()
	f.store.Restore(c)
	f.drain("i-drains")
	f.pass()
	// The daemon hears of the later era from another one before the store tells it.
	f.follow(d, f.reader)
	f.expire(d)
	want := []string{"i-drains", "i-leaves", "i-stays"}
	require.Equal(t, want, d.ids())
	requireUnchanged := func(err error) {
		require.Error(t, err)
		require.Equal(t, want, d.ids())
		require.True(t, d.upstreams["i-drains"].Draining)
	}
	replay = old
	requireUnchanged(d.fetchChanges(f.ctx))
	requireUnchanged(d.readAll(f.ctx, false))
	for key, answer := range old {
		replay = map[string]recordedAnswer{key: answer}
		if key != "/carawaytiller/kv-watch " {
			requireUnchanged(d.readAll(f.ctx, false))
		}
	}
	replay = nil
	require.NoError(t, d.readAll(f.ctx, false))
}

// Guards against a daemon that is still in an earlier era, at a higher revision, and whose entries replace newer ones.
func TestDaemonOfEarlierEraIsNotFollowed(t *testing.T) {
	f := newRestoredFleet(t)
	c := f.store.Copy()
	for range 9 {
		f.register("i-before")
	}
	f.pass()
	f.store.Restore(c)
	f.drain("i-drains")
	require.NoError(t, f.reader.fetchChanges(f.ctx))
	require.NoError(t, f.reader.followRelay(f.ctx, f.first.source))
	require.Len(t, f.reader.excludedUntil, 1)
	require.True(t, f.reader.upstreams["i-drains"].Draining)
	f.follow(f.first, f.reader)
	require.True(t, f.first.upstreams["i-drains"].Draining)
}
