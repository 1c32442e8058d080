package bundle

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/config"
	"github.com/basiltally/basiltally/result"
)

func newTestHolder(o HolderOptions) *Holder {
	o.Policy = testPolicy()
	o.Log = slog.New(slog.DiscardHandler)
	return NewHolder(o)
}

func TestHolderVersionsOnlyRise(t *testing.T) {
	is := is.New(t)
	h := newTestHolder(HolderOptions{})
	_, err := h.ForNewRequest()
	is.Equal(codeOf(err), result.ConfigStale)

	second := signed(t, 2, "second", Digest{})
	is.NoErr(h.ApplySigned(second.Encode(), "store"))
	request := h.InForce()
	is.NoErr(h.ApplySigned(second.Encode(), "peer")) // the same again
	for _, lower := range []*Signed{signed(t, 1, "first", Digest{}), signed(t, 2, "other", Digest{})} {
		is.Equal(codeOf(h.ApplySigned(lower.Encode(), "restored store")), result.VersionConflict)
		is.Equal(h.InForce(), request)
	}
	is.True(h.ApplyUnsigned("local.ini", document(9, "local")) != nil) // nor a local document over a signed one
	is.NoErr(h.ApplySigned(signed(t, 5, "fifth", Digest{}).Encode(), "peer"))
	is.Equal(h.Version(), uint64(5))
	is.Equal(request.Bundle.Version, uint64(2)) // a request keeps its version
}

func TestHolderWithoutPolicy(t *testing.T) {
	is := is.New(t)
	first, peer := NewHolder(HolderOptions{}), NewHolder(HolderOptions{})
	is.Equal(first.Encoded(), nil)
	is.NoErr(first.ApplyUnsigned("local.ini", document(2, "local")))
	is.NoErr(peer.ApplyReceived(first.Encoded(), "vm-1"))
	is.Equal(peer.Version(), uint64(2))
	is.True(peer.ApplyUnsigned("local.ini", document(1, "older")) != nil)
	is.True(peer.LastRefusal() != "")
	is.True(peer.ApplyReceived(signed(t, 3, "third", Digest{}).Encode(), "vm-1") != nil) // nobody's approval counts
	strict := newTestHolder(HolderOptions{})
	is.Equal(codeOf(strict.ApplyReceived(first.Encoded(), "vm-1")), result.BadSignature)
	is.NoErr(strict.ApplyReceived(signed(t, 3, "third", Digest{}).Encode(), "vm-1"))
	is.Equal(strict.LastRefusal(), "")
}

func TestHolderAppliesWholeOrNotAtAll(t *testing.T) {
	is := is.New(t)
	fail := false
	h := newTestHolder(HolderOptions{Prepare: func(b *config.Bundle) (any, error) {
		if fail {
			return nil, errors.New("no room")
		}
		return b.Version, nil
	}})
	is.NoErr(h.ApplySigned(signed(t, 1, "first", Digest{}).Encode(), "store"))
	changed := h.Changed()
	fail = true
	is.True(h.ApplySigned(signed(t, 2, "second", Digest{}).Encode(), "store") != nil)
	is.Equal(h.InForce().Prepared, uint64(1))
	select {
	case <-changed:
		t.Error("a refused bundle was announced")
	default:
	}
}

func TestHolderRefusesUnverified(t *testing.T) {
	cases := map[string]func(*Signed){
		"one approval of two": func(s *Signed) { s.Approvals = s.Approvals[:1] },
		"same approver twice": func(s *Signed) { s.Approvals[1] = s.Approvals[0] },
		"unknown approver":    func(s *Signed) { s.Approvals[0].Approver = "carol" },
		"changed document":    func(s *Signed) { s.Document = document(4, "changed") },
		"changed with digest": func(s *Signed) { s.Document = document(4, "changed"); s.Digest = DigestOf(s.Document) },
		"changed version":     func(s *Signed) { s.Version = 7 },
		"changed predecessor": func(s *Signed) { s.Predecessor[0]++ },
		"malformed signature": func(s *Signed) { s.Approvals[0].Signature = []byte("x") },
		"no approvals":        func(s *Signed) { s.Approvals = nil },
		"swapped approver name": func(s *Signed) {
			s.Approvals[0].Approver, s.Approvals[1].Approver = "ben", "anna"
			s.Approvals = s.Approvals[:1]
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := signed(t, 4, "fourth", Digest{})
			change(s)
			h := newTestHolder(HolderOptions{})
			is.Equal(codeOf(h.ApplySigned(s.Encode(), "peer")), result.BadSignature)
			is.Equal(h.Version(), uint64(0))
		})
	}
}

// environment is the clock and the peers of a process under test.
type environment struct {
	mu  sync.Mutex
	now ClockReading
	// newest is what was accepted; answer is what a peer says, nil if cut off.
	newest, answer *Signed
	// empty peers answer that they have no bundle.
	empty bool
}

func (e *environment) set(now ClockReading, answer, newest *Signed) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.now, e.answer, e.newest = now, answer, newest
}

func (e *environment) clock() ClockReading {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.now
}

func (e *environment) ask(context.Context) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.empty {
		return nil, nil
	}
	if e.answer == nil {
		return nil, errors.New("cut off")
	}
	return e.answer.Encode(), nil
}

// TestHolderChecksAfterFreeze freezes a process, also with a monotonic clock
// that stood still, and expects no request to be served from the old bundle.
func TestHolderChecksAfterFreeze(t *testing.T) {
	for name, frozen := range map[string]ClockReading{
		"both clocks went on":      {Mono: time.Minute, Wall: time.Unix(60, 0)},
		"monotonic clock stopped":  {Mono: 0, Wall: time.Unix(60, 0)},
		"wall clock was set back":  {Mono: 0, Wall: time.Unix(-60, 0)},
		"short of a clear freeze":  {Mono: 1001 * time.Millisecond, Wall: time.Unix(1, 1e6)},
		"only the wall clock late": {Mono: time.Minute, Wall: time.Unix(0, 0)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := &environment{now: ClockReading{Wall: time.Unix(0, 0)}, newest: signed(t, 1, "first", Digest{})}
				h := newTestHolder(HolderOptions{Clock: e.clock, FetchNewest: e.ask})
				is.NoErr(h.ApplySigned(e.newest.Encode(), "store"))
				ctx, cancel := context.WithCancel(t.Context())
				go h.Run(ctx)
				_, err := h.ForNewRequest()
				is.NoErr(err)

				e.set(frozen, nil, signed(t, 2, "second", Digest{}))
				_, err = h.ForNewRequest() // before any tick has run
				is.Equal(codeOf(err), result.ConfigStale)
				time.Sleep(10 * time.Second)
				_, err = h.ForNewRequest() // nobody could be asked
				is.Equal(codeOf(err), result.ConfigStale)

				e.mu.Lock()
				e.empty = true
				e.mu.Unlock()
				time.Sleep(10 * time.Second)
				_, err = h.ForNewRequest() // a peer without a bundle shows nothing
				is.Equal(codeOf(err), result.ConfigStale)

				e.mu.Lock()
				e.empty = false
				e.mu.Unlock()
				e.set(frozen, e.newest, e.newest)
				time.Sleep(10 * time.Second)
				f, err := h.ForNewRequest()
				is.NoErr(err)
				is.Equal(f.Bundle.Version, uint64(2))
				cancel()
			})
		})
	}
}

// TestFollowerWritesBackAfterRestore restores the store to the past: processes
// keep the newer bundle, and one of them puts it back.
func TestFollowerWritesBackAfterRestore(t *testing.T) {
	is := is.New(t)
	s := newFakeStore()
	h := newTestHolder(HolderOptions{})
	f := &Syncer{Store: s, Holder: h, Policy: testPolicy(), VM: "vm-1"}
	is.NoErr(f.Sync(t.Context())) // nothing accepted yet
	first := signed(t, 1, "first", Digest{})
	is.NoErr(rollAs("anna", s, first))
	past := s.snapshot()
	second := signed(t, 2, "second", first.Digest)
	is.NoErr(rollAs("anna", s, second))
	is.NoErr(f.Sync(t.Context()))
	is.Equal(h.Version(), uint64(2))

	s.objects = past
	is.NoErr(f.Sync(t.Context()))
	is.Equal(h.Version(), uint64(2))
	current, err := ReadCurrent(t.Context(), s)
	is.NoErr(err)
	is.Equal(current.Version, uint64(2))
	is.Equal(current.Write.Operator, "write-back/vm-1")
	started := newTestHolder(HolderOptions{}) // a new VM finds it
	is.NoErr((&Syncer{Store: s, Holder: started, Policy: testPolicy()}).Sync(t.Context()))
	is.Equal(started.Version(), uint64(2))
}

// TestFollowerRestoresLostVersion loses the object of the accepted version, so
// that a new VM could not read it.
func TestFollowerRestoresLostVersion(t *testing.T) {
	is := is.New(t)
	s := newFakeStore()
	h := newTestHolder(HolderOptions{})
	f := &Syncer{Store: s, Holder: h, Policy: testPolicy(), VM: "vm-1"}
	is.NoErr(rollAs("anna", s, signed(t, 1, "first", Digest{})))
	is.NoErr(f.Sync(t.Context()))
	delete(s.objects, VersionKey(1))
	is.NoErr(f.Sync(t.Context()))
	checkHistory(t, s)
	started := newTestHolder(HolderOptions{})
	delete(s.objects, VersionKey(1))
	is.True((&Syncer{Store: s, Holder: started, Policy: testPolicy()}).Sync(t.Context()) != nil) // it cannot help itself
}
