package shard

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/boottime"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/memstore"
)

// A move whose write had no answer counted as not made, and the former owner got the keys again, unknown to a successor.
func TestMoveOfUnknownOutcomeGivesNoKeysToAnOwnerThatTheRecordLeavesOut(t *testing.T) {
	is := is.New(t)
	old, next := Holder{ID: "old", Address: "a:1", Born: 1}, Holder{ID: "next", Address: "b:1", Born: 1}
	lm := NewLeaseManager(LeaseOptions{}, 1, nil, 0, 0)
	lm.Propose([]Move{{AllKeys, old}}, 0)
	lm.FinishProposal(true)
	answerOrders(lm, 0, "")
	now := 4 * time.Second
	for range maxRenewalFailures {
		now += time.Second
		answerOrders(lm, now, old.ID)
	}
	is.True(lm.OwnedRanges()[0].MustMove)
	written := lm.Propose([]Move{{AllKeys, next}}, now)
	is.Equal(len(written.Ranges[0].FormerOwners), 0) // The lease of the old owner has ended.

	a := &assigner{
		agent:    NewAgent(AgentOptions{VM: "a"}),
		services: map[string]*serviceState{"s": {name: "s", leases: lm, saving: true, written: true}},
	}
	a.handleSaved(saveResult{service: "s", err: errors.Wrap(store.ErrUnknown, "s")})
	lm.RetryLost(now)
	for _, o := range lm.DueOrders(now) {
		if o.To == old && !o.Release {
			t.Fatalf("keys %d to %d are granted to %v, while the record may give them to %v alone", o.Keys.From, o.Keys.To, o.To, next)
		}
	}
}

// beatStore records the instant at which the write of each beat of the role ended.
type beatStore struct {
	store.Store
	mu    sync.Mutex
	ended []time.Duration
	// slow is how long the first write takes.
	slow time.Duration
	// began is the instant at which the write of the second beat began.
	began atomic.Int64
}

func (s *beatStore) Put(ctx context.Context, key string, value []byte, v store.Version) (store.Version, error) {
	var r role
	if err := json.Unmarshal(value, &r); err != nil {
		return 0, err
	}
	if r.Beat == 0 {
		time.Sleep(s.slow)
	}
	if r.Beat == 1 {
		s.began.Store(int64(boottime.Now()))
	}
	version, err := s.Store.Put(ctx, key, value, v)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = append(s.ended, boottime.Now())
	return version, err
}

// endOf returns the instant at which the write of the beat had ended.
func (s *beatStore) endOf(beat uint64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended[beat]
}

// An update that left in the middle of a confirmation named the new beat with the age of the old one, from which a successor
// counted the end of the role too early.
func TestUpdatesNameNoBeatWithTheAgeOfTheOneBefore(t *testing.T) {
	is := is.New(t)
	stored := &beatStore{Store: memstore.New(memstore.Options{})}
	agent := NewAgent(AgentOptions{VM: "a", Store: stored, RoleLease: 3 * time.Millisecond})
	r := role{VM: "a", Term: 1}
	start := boottime.Now()
	version, err := putRole(t.Context(), stored, r, 0)
	is.NoErr(err)
	a := newAssigner(t.Context(), agent, 1, start, predecessor{})
	go a.confirmRole(a.ctx, r, version)
	defer func() {
		a.stop(errSuperseded)
		close(a.done)
	}()
	var readers sync.WaitGroup
	end := time.Now().Add(2 * time.Second)
	for range 4 {
		readers.Go(func() {
			for last := uint64(0); time.Now().Before(end) && !t.Failed(); {
				beat := a.beat.Load()
				confirmedAt := time.Duration(a.confirmedAt.Load())
				if beat == last {
					continue
				}
				last = beat
				if ended := stored.endOf(beat - 1); confirmedAt < ended {
					t.Errorf("beat %d counts from %v before the write of beat %d had ended", beat, ended-confirmedAt, beat-1)
				}
			}
		})
	}
	readers.Wait()
}

// An assigner whose take-over took long, as at the end of an outage, confirmed its role so late that another VM took it over.
func TestSlowTakeOverIsConfirmedAtOnce(t *testing.T) {
	is := is.New(t)
	const roleLease = 3 * time.Second
	stored := &beatStore{Store: memstore.New(memstore.Options{}), slow: callTimeout * 9 / 10}
	agent := NewAgent(AgentOptions{
		VM: "a", Address: "127.0.0.1:1", Store: stored, RoleLease: roleLease,
		Services: func() ([]string, bool) { return nil, false }, Report: func() *pb.ShardReport { return &pb.ShardReport{} },
	})
	ctx, cancel := context.WithCancel(t.Context())
	taken := make(chan struct{})
	go func() {
		defer close(taken)
		agent.takeOver(ctx, role{}, 0, vacancy{reason: "no VM is the assigner"})
	}()
	for end := time.Now().Add(10 * time.Second); stored.began.Load() == 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end))
	}
	waited := time.Duration(stored.began.Load()) - stored.endOf(0)
	cancel()
	<-taken
	if waited > roleLease/6 {
		t.Fatalf("the role, %v old when it was taken, is confirmed %v later", stored.slow, waited)
	}
}
