package quarantine

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/memstore"
)

var bad, innocent = Fingerprint{1}, Fingerprint{2}

// faultyStore refuses calls, or loses the answers of writes, as set.
type faultyStore struct {
	store.Store
	down, loseAnswers atomic.Bool
	puts              atomic.Int64
}

func (s *faultyStore) Get(ctx context.Context, key string) (store.Object, error) {
	if s.down.Load() {
		return store.Object{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *faultyStore) Put(ctx context.Context, key string, value []byte, v store.Version) (store.Version, error) {
	if s.down.Load() {
		return 0, store.ErrUnavailable
	}
	s.puts.Add(1)
	got, err := s.Store.Put(ctx, key, value, v)
	if s.loseAnswers.Load() {
		return 0, store.ErrUnknown
	}
	return got, err
}

// crashing runs the requests on the target of the tracker until it crashes.
func crashing(t *Tracker, target string, incarnation uint64, fps ...Fingerprint) {
	for _, fp := range fps {
		t.Started(ownership.TargetID(target), fp)
	}
	t.Crashed(ownership.TargetID(target), Evidence{Incarnation: incarnation})
	for _, fp := range fps {
		t.Finished(ownership.TargetID(target), fp, false)
	}
}

func start(t *testing.T, opts Options) *Tracker {
	tr := New(opts)
	go tr.Run(t.Context())
	return tr
}

func isBlocked(t *Tracker, fp Fingerprint) bool {
	blocked, _ := t.Quarantined(fp)
	return blocked
}

func TestSecondCrashQuarantinesOnAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, st := is.New(t), memstore.New(memstore.Options{})
		one, two, three := start(t, Options{Store: st}), start(t, Options{Store: st}), start(t, Options{Store: st})
		crashing(one, "a", 7, bad)
		time.Sleep(2 * time.Second)
		is.True(!isBlocked(one, bad) && !isBlocked(three, bad))
		crashing(two, "b", 3, bad) // Another VM, another target.
		time.Sleep(2 * time.Second)
		is.True(isBlocked(one, bad) && isBlocked(two, bad) && isBlocked(three, bad))
		is.True(!isBlocked(one, innocent))
		late := start(t, Options{Store: st})
		time.Sleep(time.Second)
		is.True(isBlocked(late, bad))
		is.Equal(testing.AllocsPerRun(100, func() { late.Quarantined(bad) }), 0.0)

		three.Release(bad)
		time.Sleep(2 * time.Second)
		is.True(!isBlocked(one, bad) && !isBlocked(three, bad))
		crashing(one, "a", 8, bad)
		is.True(!isBlocked(one, bad)) // Crashes before the release count no more.
		crashing(one, "a", 9, bad)
		is.True(isBlocked(one, bad))
		is.Equal(len(one.List()), 1)
		time.Sleep(DefaultDuration)
		is.True(!isBlocked(one, bad)) // Expired.
	})
}

func TestOneCrashSeenTwiceIsOne(t *testing.T) {
	for _, incarnations := range [][2]uint64{{7, 7}, {0, 7}, {0, 0}} {
		synctest.Test(t, func(t *testing.T) {
			is, st := is.New(t), memstore.New(memstore.Options{})
			one, two := start(t, Options{Store: st}), start(t, Options{Store: st})
			for i, tr := range []*Tracker{one, two} {
				tr.Started("a", bad)
				tr.Crashed("a", Evidence{Incarnation: incarnations[i], ConnectionRefused: true})
				time.Sleep(time.Second)
			}
			time.Sleep(2 * time.Second)
			is.True(!isBlocked(one, bad) && !isBlocked(two, bad))
		})
	}
}

func TestInnocentRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr := New(Options{})
		crashing(tr, "a", 1, bad, innocent)
		tr.Started("a", innocent)
		tr.Finished("a", innocent, true) // Its resend ran whole.
		time.Sleep(time.Second)
		crashing(tr, "a", 2, bad, innocent)
		is.True(isBlocked(tr, bad) && !isBlocked(tr, innocent))

		tr = New(Options{})
		crashing(tr, "a", 1, bad, innocent)
		time.Sleep(time.Second)
		crashing(tr, "b", 2, bad, innocent) // Beside it in both crashes.
		is.True(isBlocked(tr, bad) && isBlocked(tr, innocent))
		time.Sleep(DefaultAmbiguousDuration)
		is.True(!isBlocked(tr, bad) && !isBlocked(tr, innocent)) // Short, as it is ambiguous.
		crashing(tr, "c", 3, bad)
		time.Sleep(DefaultAmbiguousDuration)
		is.True(isBlocked(tr, bad) && !isBlocked(tr, innocent))
	})
}

func TestBrokenConnectionIsNoCrash(t *testing.T) {
	is := is.New(t)
	tr := New(Options{})
	for range 3 {
		tr.Started("a", bad)
		tr.Crashed("a", Evidence{})
	}
	is.Equal(len(tr.Snapshot().Suspects), 0)
}

func TestStoreOutageKeepsLocalAndPeerKnowledge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, st := is.New(t), &faultyStore{Store: memstore.New(memstore.Options{})}
		st.down.Store(true)
		two := start(t, Options{Store: st})
		one := start(t, Options{Store: st, Broadcast: func(r *pb.Quarantine) { two.Merge(proto.Clone(r).(*pb.Quarantine)) }})
		crashing(one, "a", 1, bad)
		crashing(one, "b", 1, bad)
		time.Sleep(10 * time.Second)
		is.True(isBlocked(one, bad) && isBlocked(two, bad))
		st.loseAnswers.Store(true)
		st.down.Store(false)
		time.Sleep(5 * time.Second)
		is.True(st.puts.Load() <= 6) // At most one write per second.
		three := start(t, Options{Store: st})
		time.Sleep(time.Second)
		is.True(isBlocked(three, bad))
	})
}

func TestLedgersMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []*pb.Quarantine
		for i := range rapid.IntRange(1, 6).Draw(t, "vms") {
			l := newLedger()
			for range rapid.IntRange(0, 6).Draw(t, "crashes") {
				s := l.suspect(Fingerprint{byte(rapid.IntRange(0, 2).Draw(t, "fp"))})
				incarnation := rapid.Uint64Range(1, 3).Draw(t, "incarnation")
				s.add(crash{target: 1, incarnation: incarnation, atMS: int64(incarnation) * 1000})
			}
			if rapid.Bool().Draw(t, "clear") {
				l.suspect(Fingerprint{0}).clear(int64(i) * 500)
			}
			records = append(records, l.record())
		}
		forward, backward := newLedger(), newLedger()
		for i := range records {
			forward.merge(records[i])
			backward.merge(records[len(records)-1-i])
			backward.merge(records[i]) // Repeats change nothing.
		}
		a, b := forward.record(), backward.record()
		if !proto.Equal(a, b) {
			t.Fatalf("%v differs from %v", a, b)
		}
	})
}

func TestRecordIsBounded(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	for i := range 3 * maxSuspects {
		var fp Fingerprint
		copy(fp[:], fmt.Sprint(i))
		for n := range 10 {
			l.suspect(fp).add(crash{uint64(n), uint64(i), int64(1_000_000 + i)})
		}
	}
	l.expire(1_000_000, time.Hour)
	is.Equal(len(l.suspects), maxSuspects)
	is.True(proto.Size(l.record()) < store.MaxValueBytes/4)
}
