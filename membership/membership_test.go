package membership

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/store"
)

type fakeLister struct {
	vms []store.VM
	err error
}

func (f *fakeLister) ListVMs(context.Context) ([]store.VM, error) { return f.vms, f.err }

func TestFailedReadKeepsSnapshot(t *testing.T) {
	is := is.New(t)
	lister := &fakeLister{vms: []store.VM{
		{ID: "b", Kind: KindEntry, Address: "127.0.0.1:2"},
		{ID: "a", Kind: KindEntry, Address: "127.0.0.1:1"},
		{ID: "t", Kind: KindTarget, Pool: "sheets"},
	}}
	l := New(Options{Lister: lister})
	changes := 0
	l.OnChange(func(*Snapshot) { changes++ })
	is.True(l.Refresh(t.Context()))
	is.True(l.Refresh(t.Context()))
	is.Equal(changes, 1) // an unchanged list calls no function
	lister.err = store.ErrUnavailable
	is.True(!l.Refresh(t.Context()))
	vm, ok := l.Snapshot().VM("a")
	is.True(ok)
	is.Equal(vm.Address, "127.0.0.1:1")
	is.Equal(len(l.Snapshot().Pool("sheets")), 1)
	is.Equal(len(l.Snapshot().Pool("filing")), 0)
}
