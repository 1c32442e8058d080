// Package vmlist is a stand-in for the platform's list of VMs, which can be out of date.
package vmlist

import (
	"context"
	"slices"
	"sync"

	"github.com/basiltally/basiltally/store"
)

// List is a VM list that can be made to return an older state.
type List struct {
	mu  sync.Mutex
	vms []store.VM
	// heldVMs is the list that is returned while held is set.
	heldVMs []store.VM
	held    bool
}

var _ store.VMLister = (*List)(nil)

// New returns a List that contains the VMs.
func New(vms []store.VM) *List { return &List{vms: slices.Clone(vms)} }

// ListVMs implements store.VMLister.
func (l *List) ListVMs(ctx context.Context) ([]store.VM, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held {
		return slices.Clone(l.heldVMs), nil
	}
	return slices.Clone(l.vms), nil
}

// Set replaces the VM with the same ID, or adds it.
func (l *List) Set(vm store.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.vms {
		if l.vms[i].ID == vm.ID {
			l.vms[i] = vm
			return
		}
	}
	l.vms = append(l.vms, vm)
}

// Remove removes the VM with the ID, if it is in the list.
func (l *List) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = slices.DeleteFunc(l.vms, func(vm store.VM) bool { return vm.ID == id })
}

// Hold makes ListVMs return the current state until Release, despite later changes.
func (l *List) Hold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heldVMs = slices.Clone(l.vms)
	l.held = true
}

// Release makes ListVMs return the current list again.
func (l *List) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = false
	l.heldVMs = nil
}
