package follower_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/accountant"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/follower"
	"github.com/carawaytiller/carawaytiller/forwarder"
	"github.com/carawaytiller/carawaytiller/gatherer"
	"github.com/carawaytiller/carawaytiller/platform"
	"github.com/carawaytiller/carawaytiller/platform/faker"
)

// The event that lists the daemons must be emitted once for a read and not once for each entry, which cost the
// square of the fleet's size at each start.
func TestMembersAreEmittedOnceForARead(t *testing.T) {
	const members = 300
	store := faker.NewStore()
	for i := range members {
		vm := fmt.Sprintf("vm-%d", i)
		store.Put(platform.MemberKey(vm), fmt.Sprintf(`{"VM":%q,"Address":"a","Region":"r"}`, vm))
	}
	store.Put("op/config", `{"Version":1,"Routes":[],"Services":[],"Limits":{}}`)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	events, listed := 0, 0
	ctx, cancel := context.WithCancel(context.Background())
	emit := func(e gatherer.Event) {
		switch e := e.(type) {
		case gatherer.MembersChanged:
			events++
			listed = len(e.Members)
		case gatherer.StoreRead:
			cancel()
		}
	}
	clock := tiller.SystemClock()
	account := accountant.New(1<<20, func(int64) {})
	client := forwarder.New(clock, account, func(http.Header) string { return "" })
	f := follower.New(clock, platform.NewStore(server.Listener.Addr().String(), account), client, logr.Discard(), nil,
		cataloger.Member{VM: "vm-new"}, nil, follower.NewTiming(0), follower.Callbacks{Emit: emit, Lost: func() {}})
	f.Run(ctx)
	require.Equal(t, members, listed)
	require.Equal(t, 1, events)
}
