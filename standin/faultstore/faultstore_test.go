package faultstore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/standin"
	"github.com/basiltally/basiltally/standin/vmlist"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/memstore"
)

func newStore() *Store { return New(memstore.New(memstore.Options{}), vmlist.New(nil)) }

func TestDelaysAroundAWrite(t *testing.T) {
	tests := []struct {
		name    string
		faults  Faults
		written bool
	}{
		{"before its effect", Faults{DelayBefore: standin.Duration(time.Minute)}, false},
		{"after its effect", Faults{DelayAfter: standin.Duration(time.Minute)}, true},
		{"on another prefix", Faults{DelayBefore: standin.Duration(time.Minute), KeyPrefix: "b/"}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newStore()
				s.SetFaults(tt.faults)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, err := s.Put(ctx, "a/1", nil, 0)
				is.Equal(err == nil, tt.faults.KeyPrefix != "")
				is.Equal(err != nil, errors.Is(err, store.ErrUnknown))
				is.Equal(s.Objects.Revision() == 1, tt.written)
			})
		})
	}
}

func TestWaitingWatchIsCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStore()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second+time.Millisecond)
		defer cancel()
		_, err := s.Watch(ctx, "a", 0)
		is.NoErr(err)
		is.Equal(s.Calls().Watch, 1)
		is.Equal(s.Calls().ReadsCharged, 11) // at its start and after each second
		is.Equal(s.Calls().Waiting, 0)
	})
}

func TestReadLimitCountsWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStore()
		s.SetFaults(Faults{ReadsPerSecond: 2})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		for range 2 {
			go func() { _, _ = s.Watch(ctx, "a", 0) }()
		}
		time.Sleep(10*time.Second + 250*time.Millisecond)
		_, _, err := s.List(ctx, "a")
		is.True(errors.Is(err, store.ErrUnavailable)) // two waiting watches use up the limit
		cancel()
		synctest.Wait()
	})
}

func TestHangEndsWithNewFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStore()
		s.SetFaults(Faults{Hang: true})
		go func() {
			time.Sleep(time.Hour)
			s.SetFaults(Faults{})
		}()
		_, err := s.Put(t.Context(), "a", nil, 0)
		is.NoErr(err)
	})
}

func TestStaleVMListAndRestore(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	s := newStore()
	s.VMs.Set(store.VM{ID: "a"})
	s.VMs.Hold()
	s.VMs.Remove("a")
	s.VMs.Set(store.VM{ID: "b"})
	vms, err := s.ListVMs(ctx)
	is.NoErr(err)
	is.Equal(vms, []store.VM{{ID: "a"}})
	s.VMs.Release()
	vms, err = s.ListVMs(ctx)
	is.NoErr(err)
	is.Equal(vms, []store.VM{{ID: "b"}})

	s.Snapshot()
	_, err = s.Put(ctx, "k", nil, 0)
	is.NoErr(err)
	s.Restore()
	_, err = s.Get(ctx, "k")
	is.True(errors.Is(err, store.ErrNotFound))
}
