package faker_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/api/platform"
	"github.com/carawaytiller/carawaytiller/faker"
)

// TestVMListLag guards against a list that shows a change before the lag has passed, or never.
func TestVMListLag(t *testing.T) {
	var clock manualClock
	p, c := startPlatform(t, faker.StoreSettings{}, clock.clock())
	p.VMs.SetFaults(faker.VMListFaults{LagMillis: 1000})
	a := platform.VM{Name: "a", Address: "127.0.0.1:1", Domain: "Kelowna"}
	b := platform.VM{Name: "b", Address: "127.0.0.1:2", Domain: "Nanaimo"}
	leaving := b
	leaving.Leaving = true
	list := func() []platform.VM {
		l, err := c.ListVMs(context.Background())
		require.NoError(t, err)
		return l.VMs
	}
	p.VMs.Register(b)
	p.VMs.Register(a)
	clock.advance(999)
	require.Empty(t, list())
	p.VMs.Leave("b")
	p.VMs.Remove("a")
	clock.advance(1)
	require.Equal(t, []platform.VM{a, b}, list())
	clock.advance(999)
	require.Equal(t, []platform.VM{leaving}, list())

	p.VMs.SetFaults(faker.VMListFaults{Outage: true})
	_, err := c.ListVMs(context.Background())
	require.Equal(t, platform.StoreErrorReasonUnavailable, reasonOf(err))
}
