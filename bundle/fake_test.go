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

// fault is a fault of one call of a fakeStore.
type fault int

const (
	outage          fault = iota // the call is refused; nothing is written
	lostBefore                   // the answer is lost and nothing is written
	lostAfter                    // the answer is lost, but the call took effect
	crashBefore                  // the caller crashes before the call takes effect
	crashAfter                   // the caller crashes after the call took effect
	permanentOutage              // this call and all later ones are refused
)

// fakeStore is an in-memory store that injects faults into selected calls.
type fakeStore struct {
	objects     map[string]store.Object
	lastVersion store.Version
	calls       int
	// faults maps the number of a call, counted from 0, to its fault.
	faults map[int]fault
	// beforeCall, if set, runs before each call.
	beforeCall func(call int)
	// accepted lists every version that CurrentKey has named, in order.
	accepted    []Current
	unavailable bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: make(map[string]store.Object), faults: make(map[int]fault)}
}

type crashPanic struct{}

// callWithFault runs effect with the fault of this call, if it has one. A fault
// of a call that writes nothing is an outage unless it is a crash.
func (f *fakeStore) callWithFault(write bool, effect func() error) error {
	call := f.calls
	f.calls++
	if f.beforeCall != nil {
		f.beforeCall(call)
	}
	kind, faulty := f.faults[call]
	if faulty && kind == permanentOutage {
		f.unavailable = true
	}
	switch {
	case f.unavailable || faulty && (kind == outage || kind != crashBefore && kind != crashAfter && !write):
		return store.ErrUnavailable
	case faulty && kind == crashBefore:
		panic(crashPanic{})
	case faulty && kind == lostBefore:
		return store.ErrUnknown
	}
	err := effect()
	if faulty && kind == lostAfter {
		return store.ErrUnknown
	}
	if faulty && kind == crashAfter {
		panic(crashPanic{})
	}
	return err
}

func (f *fakeStore) Get(_ context.Context, key string) (obj store.Object, err error) {
	err = f.callWithFault(false, func() error {
		var ok bool
		if obj, ok = f.objects[key]; !ok {
			return store.ErrNotFound
		}
		return nil
	})
	return obj, err
}

func (f *fakeStore) List(_ context.Context, prefix string) (list []store.Object, at store.Version, err error) {
	err = f.callWithFault(false, func() error {
		for _, key := range slices.Sorted(maps.Keys(f.objects)) {
			if strings.HasPrefix(key, prefix) {
				list = append(list, f.objects[key])
			}
		}
		return nil
	})
	return list, f.lastVersion, err
}

func (f *fakeStore) Put(_ context.Context, key string, value []byte, expected store.Version) (at store.Version, err error) {
	err = f.callWithFault(true, func() error {
		if f.objects[key].Version != expected {
			return store.ErrConflict
		}
		f.lastVersion++
		at = f.lastVersion
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

// snapshot returns a copy of the objects, with which a test restores an earlier
// state of the store.
func (f *fakeStore) snapshot() map[string]store.Object { return maps.Clone(f.objects) }

// clearFaults removes all faults.
func (f *fakeStore) clearFaults() {
	f.faults, f.beforeCall, f.unavailable = map[int]fault{}, nil, false
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
