package bundle

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/basiltally/basiltally/store"
)

// fault is what happens to one call of a fakeStore.
type fault int

const (
	outage        fault = iota // the call is refused
	lostBefore                 // the answer is lost and nothing was written
	lostAfter                  // the answer is lost after the effect
	crashBefore                // the caller dies before the call
	crashAfter                 // the caller dies after the effect
	outageForGood              // this call and all later ones are refused
)

// fakeStore is an in-memory store with faults at chosen calls.
type fakeStore struct {
	objects map[string]store.Object
	last    store.Version
	calls   int
	// strike maps the number of a call to its fault.
	strike map[int]fault
	// before, if set, runs before each call.
	before func(call int)
	// accepted records every version that CurrentKey has named, in order.
	accepted []Current
	dead     bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: make(map[string]store.Object), strike: make(map[int]fault)}
}

type crash struct{}

// run applies the call's fault around the effect.
func (f *fakeStore) run(write bool, effect func() error) error {
	call := f.calls
	f.calls++
	if f.before != nil {
		f.before(call)
	}
	what, struck := f.strike[call]
	if struck && what == outageForGood {
		f.dead = true
	}
	switch {
	case f.dead || struck && (what == outage || what != crashBefore && what != crashAfter && !write):
		return store.ErrUnavailable
	case struck && what == crashBefore:
		panic(crash{})
	case struck && what == lostBefore:
		return store.ErrUnknown
	}
	err := effect()
	if struck && what == lostAfter {
		return store.ErrUnknown
	}
	if struck && what == crashAfter {
		panic(crash{})
	}
	return err
}

func (f *fakeStore) Get(_ context.Context, key string) (obj store.Object, err error) {
	err = f.run(false, func() error {
		var ok bool
		if obj, ok = f.objects[key]; !ok {
			return store.ErrNotFound
		}
		return nil
	})
	return obj, err
}

func (f *fakeStore) List(_ context.Context, prefix string) (list []store.Object, at store.Version, err error) {
	err = f.run(false, func() error {
		for _, key := range slices.Sorted(maps.Keys(f.objects)) {
			if strings.HasPrefix(key, prefix) {
				list = append(list, f.objects[key])
			}
		}
		return nil
	})
	return list, f.last, err
}

func (f *fakeStore) Put(_ context.Context, key string, value []byte, expected store.Version) (at store.Version, err error) {
	err = f.run(true, func() error {
		if f.objects[key].Version != expected {
			return store.ErrConflict
		}
		f.last++
		at = f.last
		f.objects[key] = store.Object{Key: key, Value: value, Version: at}
		if key == CurrentKey {
			current, err := decodeCurrent(f.objects[key])
			f.accepted = append(f.accepted, current)
			return err
		}
		return nil
	})
	return at, err
}

func (f *fakeStore) Delete(context.Context, string, store.Version) error { return store.ErrUnavailable }

func (f *fakeStore) Watch(context.Context, string, store.Version) ([]store.Event, error) {
	return nil, store.ErrUnavailable
}

// restore returns the objects as they are, for putting the store back to the past.
func (f *fakeStore) snapshot() map[string]store.Object { return maps.Clone(f.objects) }

// heal ends all faults.
func (f *fakeStore) heal() {
	f.strike, f.before, f.dead = map[int]fault{}, nil, false
}

var (
	annaKey = ed25519.NewKeyFromSeed(make([]byte, 32))
	benKey  = ed25519.NewKeyFromSeed([]byte("0123456789abcdef0123456789abcdef"))
)

func testPolicy() *Policy {
	return &Policy{RequiredApprovals: 2, Approvers: map[string][]ed25519.PublicKey{
		"anna": {annaKey.Public().(ed25519.PublicKey)},
		"ben":  {benKey.Public().(ed25519.PublicKey)},
	}}
}

func document(version uint64, note string) []byte {
	return fmt.Appendf(nil, "# %s\n[bundle]\nversion = %d\n[pool \"p\"]\nkeyed = true\ngroups = g\ntarget_slots = 6\n"+
		"target_connections = 10\n[tenant \"t\"]\n[class \"t/c\"]\nkind = keyed-read\npath_prefix = /c/\npool = p\n", note, version)
}

func signed(t testing.TB, version uint64, note string, predecessor Digest) *Signed {
	t.Helper()
	s, err := New("b.ini", document(version, note), predecessor)
	if err != nil {
		t.Fatal(err)
	}
	for name, key := range map[string]ed25519.PrivateKey{"anna": annaKey, "ben": benKey} {
		if err := s.Sign(name, key); err != nil {
			t.Fatal(err)
		}
	}
	return s
}
