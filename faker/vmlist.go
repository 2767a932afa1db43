package faker

import (
	"context"
	"slices"
	"strings"
	"sync"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/platform"
)

// VMListFaults are the faults of a VMList that can be changed while it runs. The zero value has none.
type VMListFaults struct {
	// Outage answers every call with Unavailable.
	Outage bool
	// LagMillis is the delay before a change becomes visible in the list.
	LagMillis tiller.Millis
}

// VMList is a fake of the platform's list of live and leaving VMs.
type VMList struct {
	*Endpoint
	clock tiller.Clock

	mu      sync.Mutex
	shown   map[string]platform.VM
	pending []vmChange
	faults  VMListFaults
}

// vmChange is a change that was requested at time at and is not visible yet.
type vmChange struct {
	at    tiller.Millis
	apply func(shown map[string]platform.VM)
}

// NewVMList returns an empty VMList whose lag follows clock.
// It fails only when the generated server can't be created.
func NewVMList(clock tiller.Clock) (*VMList, error) {
	l := &VMList{clock: clock, shown: map[string]platform.VM{}}
	h, err := newPlatformHandler(nil, l)
	if err != nil {
		return nil, err
	}
	l.Endpoint = NewEndpoint(h)
	return l, nil
}

// SetFaults replaces the faults. A new lag also applies to changes that are not visible yet.
func (l *VMList) SetFaults(f VMListFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle()
	l.faults = f
}

// Faults returns the faults in force.
func (l *VMList) Faults() VMListFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Register adds vm, or replaces the VM of the same name.
func (l *VMList) Register(vm platform.VM) {
	l.change(func(shown map[string]platform.VM) { shown[vm.Name] = vm })
}

// Leave marks the VM with the given name as leaving.
func (l *VMList) Leave(name string) {
	l.change(func(shown map[string]platform.VM) {
		vm, ok := shown[name]
		if !ok {
			return
		}
		vm.Leaving = true
		shown[name] = vm
	})
}

// Remove removes the VM with the given name.
func (l *VMList) Remove(name string) {
	l.change(func(shown map[string]platform.VM) { delete(shown, name) })
}

// ListVMs returns the VMs as they were LagMillis ago, ordered by name.
func (l *VMList) ListVMs(context.Context) (*platform.VMList, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Outage {
		return nil, storeError(platform.StoreErrorReasonUnavailable, "the list of VMs is down")
	}
	l.settle()
	vms := make([]platform.VM, 0, len(l.shown))
	for _, vm := range l.shown {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b platform.VM) int { return strings.Compare(a.Name, b.Name) })
	return &platform.VMList{VMs: vms}, nil
}

func (l *VMList) change(apply func(shown map[string]platform.VM)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, vmChange{at: l.clock.Now(), apply: apply})
}

// settle applies the pending changes that are at least as old as the lag. The caller holds the lock.
func (l *VMList) settle() {
	now := l.clock.Now()
	for len(l.pending) > 0 && l.pending[0].at+l.faults.LagMillis <= now {
		l.pending[0].apply(l.shown)
		l.pending = l.pending[1:]
	}
}
