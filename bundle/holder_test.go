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

func TestHolderRefusesOlderVersions(t *testing.T) {
	is := is.New(t)
	h := newTestHolder(HolderOptions{})
	_, err := h.ForNewRequest()
	is.Equal(codeOf(err), result.ConfigStale)

	second := signed(t, 2, "second", Digest{})
	is.NoErr(h.ApplySigned(second.Encode(), "store"))
	request := h.InForce()
	is.NoErr(h.ApplySigned(second.Encode(), "peer")) // the same bundle again
	for _, lower := range []*Signed{signed(t, 1, "first", Digest{}), signed(t, 2, "other", Digest{})} {
		is.Equal(codeOf(h.ApplySigned(lower.Encode(), "restored store")), result.VersionConflict)
		is.Equal(h.InForce(), request)
	}
	is.True(h.ApplyUnsigned("local.ini", document(9, "local")) != nil) // a document without approvals may not replace a signed bundle
	is.NoErr(h.ApplySigned(signed(t, 5, "fifth", Digest{}).Encode(), "peer"))
	is.Equal(h.Version(), uint64(5))
	is.Equal(request.Bundle.Version, uint64(2)) // a request keeps the bundle with which it began
}

func TestHolderWithoutPolicyAcceptsUnsigned(t *testing.T) {
	is := is.New(t)
	local, peer := NewHolder(HolderOptions{}), NewHolder(HolderOptions{})
	is.Equal(local.Encoded(), nil)
	is.NoErr(local.ApplyUnsigned("local.ini", document(2, "local")))
	is.NoErr(peer.ApplyReceived(local.Encoded(), "vm-1"))
	is.Equal(peer.Version(), uint64(2))
	is.True(peer.ApplyUnsigned("local.ini", document(1, "older")) != nil)
	is.True(peer.LastRefusal() != "")
	is.True(peer.ApplyReceived(signed(t, 3, "third", Digest{}).Encode(), "vm-1") != nil) // without a Policy no approval is valid
	withPolicy := newTestHolder(HolderOptions{})
	is.Equal(codeOf(withPolicy.ApplyReceived(local.Encoded(), "vm-1")), result.BadSignature)
	is.NoErr(withPolicy.ApplyReceived(signed(t, 3, "third", Digest{}).Encode(), "vm-1"))
	is.Equal(withPolicy.LastRefusal(), "")
}

func TestHolderKeepsBundleWhenPrepareFails(t *testing.T) {
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
		t.Error("the channel of Changed was closed for a refused bundle")
	default:
	}
}

func TestHolderRefusesUnverifiedBundles(t *testing.T) {
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

// fakeEnvironment provides the clocks and the peers of a process under test.
type fakeEnvironment struct {
	mu  sync.Mutex
	now ClockReading
	// accepted is the accepted bundle; peerBundle is the bundle that a peer returns,
	// nil if no peer can be reached.
	accepted, peerBundle *Signed
	// peersEmpty makes peers return that they have no bundle.
	peersEmpty bool
}

func (e *fakeEnvironment) set(now ClockReading, peerBundle, accepted *Signed) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.now, e.peerBundle, e.accepted = now, peerBundle, accepted
}

func (e *fakeEnvironment) clock() ClockReading {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.now
}

func (e *fakeEnvironment) fetchNewest(context.Context) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.peersEmpty {
		return nil, nil
	}
	if e.peerBundle == nil {
		return nil, errors.New("no peer reachable")
	}
	return e.peerBundle.Encode(), nil
}

// TestHolderRefusesRequestsUntilRecheckAfterFreeze guards against requests served
// from an outdated bundle after the process was frozen, including a freeze during
// which the monotonic clock did not advance.
func TestHolderRefusesRequestsUntilRecheckAfterFreeze(t *testing.T) {
	for name, frozen := range map[string]ClockReading{
		"both clocks advanced":              {Mono: time.Minute, Wall: time.Unix(60, 0)},
		"monotonic clock stopped":           {Mono: 0, Wall: time.Unix(60, 0)},
		"wall clock was set back":           {Mono: 0, Wall: time.Unix(-60, 0)},
		"just above the freeze limit":       {Mono: 1001 * time.Millisecond, Wall: time.Unix(1, 1e6)},
		"only the monotonic clock advanced": {Mono: time.Minute, Wall: time.Unix(0, 0)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := &fakeEnvironment{now: ClockReading{Wall: time.Unix(0, 0)}, accepted: signed(t, 1, "first", Digest{})}
				h := newTestHolder(HolderOptions{Clock: e.clock, FetchNewest: e.fetchNewest})
				is.NoErr(h.ApplySigned(e.accepted.Encode(), "store"))
				ctx, cancel := context.WithCancel(t.Context())
				go h.Run(ctx)
				_, err := h.ForNewRequest()
				is.NoErr(err)

				e.set(frozen, nil, signed(t, 2, "second", Digest{}))
				_, err = h.ForNewRequest() // before any tick has run
				is.Equal(codeOf(err), result.ConfigStale)
				time.Sleep(10 * time.Second)
				_, err = h.ForNewRequest() // no peer could be reached
				is.Equal(codeOf(err), result.ConfigStale)

				e.mu.Lock()
				e.peersEmpty = true
				e.mu.Unlock()
				time.Sleep(10 * time.Second)
				_, err = h.ForNewRequest() // a peer without a bundle confirms nothing
				is.Equal(codeOf(err), result.ConfigStale)

				e.mu.Lock()
				e.peersEmpty = false
				e.mu.Unlock()
				e.set(frozen, e.accepted, e.accepted)
				time.Sleep(10 * time.Second)
				f, err := h.ForNewRequest()
				is.NoErr(err)
				is.Equal(f.Bundle.Version, uint64(2))
				cancel()
			})
		})
	}
}

// TestSyncerWritesBundleBackAfterStoreRestore restores the store to an earlier
// state: processes keep the newer bundle, and one of them writes it back.
func TestSyncerWritesBundleBackAfterStoreRestore(t *testing.T) {
	is := is.New(t)
	s := newFakeStore()
	h := newTestHolder(HolderOptions{})
	syncer := &Syncer{Store: s, Holder: h, Policy: testPolicy(), VM: "vm-1"}
	is.NoErr(syncer.Sync(t.Context())) // no bundle accepted yet
	first := signed(t, 1, "first", Digest{})
	is.NoErr(rollForwardAs("anna", s, first))
	past := s.snapshot()
	second := signed(t, 2, "second", first.Digest)
	is.NoErr(rollForwardAs("anna", s, second))
	is.NoErr(syncer.Sync(t.Context()))
	is.Equal(h.Version(), uint64(2))

	s.objects = past
	is.NoErr(syncer.Sync(t.Context()))
	is.Equal(h.Version(), uint64(2))
	current, err := ReadCurrent(t.Context(), s)
	is.NoErr(err)
	is.Equal(current.Version, uint64(2))
	is.Equal(current.Write.Operator, "write-back/vm-1")
	started := newTestHolder(HolderOptions{}) // a VM that starts finds the bundle
	is.NoErr((&Syncer{Store: s, Holder: started, Policy: testPolicy()}).Sync(t.Context()))
	is.Equal(started.Version(), uint64(2))
}

// TestSyncerRestoresLostVersion deletes the object of the accepted version, without
// which a VM that starts could not read the bundle.
func TestSyncerRestoresLostVersion(t *testing.T) {
	is := is.New(t)
	s := newFakeStore()
	h := newTestHolder(HolderOptions{})
	syncer := &Syncer{Store: s, Holder: h, Policy: testPolicy(), VM: "vm-1"}
	is.NoErr(rollForwardAs("anna", s, signed(t, 1, "first", Digest{})))
	is.NoErr(syncer.Sync(t.Context()))
	delete(s.objects, VersionKey(1))
	is.NoErr(syncer.Sync(t.Context()))
	checkHistory(t, s)
	started := newTestHolder(HolderOptions{})
	delete(s.objects, VersionKey(1))
	is.True((&Syncer{Store: s, Holder: started, Policy: testPolicy()}).Sync(t.Context()) != nil) // a process without the bundle cannot restore it
}
