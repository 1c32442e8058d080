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

var crasher, harmless = Fingerprint{1}, Fingerprint{2}

// faultyStore refuses calls while down is set, and loses the answers of writes while loseAnswers is
// set.
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

// crashTarget reports to the tracker that the target crashed while it ran the requests.
func crashTarget(t *Tracker, target string, incarnation uint64, fps ...Fingerprint) {
	for _, fp := range fps {
		t.Started(ownership.TargetID(target), fp)
	}
	t.Crashed(ownership.TargetID(target), Evidence{Incarnation: incarnation})
	for _, fp := range fps {
		t.Finished(ownership.TargetID(target), fp, false)
	}
}

func startTracker(t *testing.T, opts Options) *Tracker {
	tr := New(opts)
	go tr.Run(t.Context())
	return tr
}

func isQuarantined(t *Tracker, fp Fingerprint) bool {
	quarantined, _ := t.Quarantined(fp)
	return quarantined
}

func TestSecondCrashQuarantinesOnAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, st := is.New(t), memstore.New(memstore.Options{})
		one, two, three := startTracker(t, Options{Store: st}), startTracker(t, Options{Store: st}), startTracker(t, Options{Store: st})
		crashTarget(one, "a", 7, crasher)
		time.Sleep(2 * time.Second)
		is.True(!isQuarantined(one, crasher) && !isQuarantined(three, crasher))
		crashTarget(two, "b", 3, crasher) // On another VM and another target.
		time.Sleep(2 * time.Second)
		is.True(isQuarantined(one, crasher) && isQuarantined(two, crasher) && isQuarantined(three, crasher))
		is.True(!isQuarantined(one, harmless))
		late := startTracker(t, Options{Store: st})
		time.Sleep(time.Second)
		is.True(isQuarantined(late, crasher))
		is.Equal(testing.AllocsPerRun(100, func() { late.Quarantined(crasher) }), 0.0)

		three.Release(crasher)
		time.Sleep(2 * time.Second)
		is.True(!isQuarantined(one, crasher) && !isQuarantined(three, crasher))
		crashTarget(one, "a", 8, crasher)
		is.True(!isQuarantined(one, crasher)) // Crashes before the release no longer count.
		crashTarget(one, "a", 9, crasher)
		is.True(isQuarantined(one, crasher))
		is.Equal(len(one.List()), 1)
		time.Sleep(DefaultDuration)
		is.True(!isQuarantined(one, crasher)) // The quarantine has expired.
	})
}

func TestTwoReportsOfOneCrashCountOnce(t *testing.T) {
	for _, incarnations := range [][2]uint64{{7, 7}, {0, 7}, {0, 0}} {
		synctest.Test(t, func(t *testing.T) {
			is, st := is.New(t), memstore.New(memstore.Options{})
			one, two := startTracker(t, Options{Store: st}), startTracker(t, Options{Store: st})
			for i, tr := range []*Tracker{one, two} {
				tr.Started("a", crasher)
				tr.Crashed("a", Evidence{Incarnation: incarnations[i], ConnectionRefused: true})
				time.Sleep(time.Second)
			}
			time.Sleep(2 * time.Second)
			is.True(!isQuarantined(one, crasher) && !isQuarantined(two, crasher))
		})
	}
}

func TestHarmlessRequestsAreClearedOrBrieflyQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr := New(Options{})
		crashTarget(tr, "a", 1, crasher, harmless)
		tr.Started("a", harmless)
		tr.Finished("a", harmless, true) // Its resend was answered in full.
		time.Sleep(time.Second)
		crashTarget(tr, "a", 2, crasher, harmless)
		is.True(isQuarantined(tr, crasher) && !isQuarantined(tr, harmless))

		tr = New(Options{})
		crashTarget(tr, "a", 1, crasher, harmless)
		time.Sleep(time.Second)
		crashTarget(tr, "b", 2, crasher, harmless) // Both requests ran during both crashes.
		is.True(isQuarantined(tr, crasher) && isQuarantined(tr, harmless))
		time.Sleep(DefaultAmbiguousDuration)
		is.True(!isQuarantined(tr, crasher) && !isQuarantined(tr, harmless)) // Ambiguous, so it is short.
		crashTarget(tr, "c", 3, crasher)
		time.Sleep(DefaultAmbiguousDuration)
		is.True(isQuarantined(tr, crasher) && !isQuarantined(tr, harmless))
	})
}

// The request of one caller crashed targets, and whole answers to others who sent the same forgot each crash.
func TestWholeAnswersToOthersDoNotHideARequestThatCrashesTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr := New(Options{MinCrashes: 3})
		for i, target := range []string{"a", "b", "c"} {
			is.True(!isQuarantined(tr, crasher))
			for range 10 {
				tr.Started("z", crasher)
				tr.Finished("z", crasher, true)
				time.Sleep(300 * time.Millisecond)
			}
			crashTarget(tr, target, 1, crasher, Fingerprint{100 + byte(i)})
		}
		is.True(isQuarantined(tr, crasher))
	})
}

// Many targets are lost at once, for another reason, while all run the request that most callers send.
func TestPopularRequestIsNotRefusedForTheLossOfManyTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var vms []*Tracker
		for i := range 12 {
			vms = append(vms, New(Options{MinCrashes: 3, VM: fmt.Sprint("vm", i)}))
		}
		for range 500 { // 40 a second.
			for _, vm := range vms {
				vm.Started("z", harmless)
				vm.Finished("z", harmless, true)
				time.Sleep(2 * time.Millisecond)
			}
		}
		for i, target := range []string{"a", "b", "c", "d"} {
			crashTarget(vms[i], target, 1, harmless)
			crashTarget(vms[i+4], target, 1, crasher)
		}
		for _, from := range vms {
			for _, to := range vms {
				to.Merge(from.Snapshot())
			}
		}
		for _, vm := range vms {
			is.True(!isQuarantined(vm, harmless))
			is.True(isQuarantined(vm, crasher))
		}
	})
}

// The many suspects of targets that were lost at once pushed an older one of two crashes out of the record.
func TestSuspectOfTwoCrashesOutlastsAFloodOfOthers(t *testing.T) {
	is := is.New(t)
	set := newSuspectSet()
	set.getOrAdd(crasher).add(crash{1, 1, 1_000_000})
	set.getOrAdd(crasher).add(crash{2, 1, 1_000_001})
	for i := range 2 * maxSuspects {
		var fp Fingerprint
		copy(fp[:], fmt.Sprint("flood ", i))
		set.getOrAdd(fp).add(crash{3, 1, 1_000_002})
	}
	set.expire(1_000_002, time.Hour)
	is.Equal(len(set.byFingerprint), maxSuspects)
	is.True(set.byFingerprint[crasher] != nil)
}

// A request that was sent to a target after its crash did not crash it.
func TestRequestThatWasStartedAfterTheCrashIsNoSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr := New(Options{})
		tr.Started("a", crasher)
		at := time.Now()
		time.Sleep(time.Millisecond)
		tr.Started("a", harmless)
		tr.Crashed("a", Evidence{Incarnation: 1, At: at}, Fingerprint{3})
		is.Equal(len(tr.Snapshot().Suspects), 2)
		is.True(tr.suspects.byFingerprint[harmless] == nil)
	})
}

// Each report of an unrelated suspect sent the unchanged list to all VMs and wrote it to the store.
func TestListIsNotSentAgainForUnrelatedSuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr, other := New(Options{VM: "one"}), New(Options{VM: "two"})
		is.Equal(tr.ListedVersion(), uint64(0))
		crashTarget(tr, "a", 1, crasher)
		is.Equal(tr.ListedVersion(), uint64(0))
		crashTarget(tr, "a", 2, crasher)
		listed, version := tr.Listed()
		is.True(version > 0 && len(listed.GetSuspects()) == 1)
		for i := range 10 {
			crashTarget(other, "z", uint64(10+i), Fingerprint{100 + byte(i)})
			tr.Merge(other.TakeChanges())
			crashTarget(tr, "y", uint64(10+i), Fingerprint{150 + byte(i)})
		}
		again, same := tr.Listed()
		is.True(proto.Equal(again, listed))
		is.Equal(same, version)

		changed := func(what string, change func()) {
			before, version := tr.Listed()
			time.Sleep(time.Second)
			change()
			after, next := tr.Listed()
			if proto.Equal(before, after) || next <= version {
				t.Errorf("%s: version %d after %d, list %v after %v", what, next, version, after, before)
			}
			receiver := New(Options{VM: "three"})
			receiver.Merge(after)
			got, until := receiver.Quarantined(crasher)
			want, wantUntil := tr.Quarantined(crasher)
			is.Equal(got, want)
			is.Equal(until, wantUntil)
		}
		changed("prolonged here", func() { crashTarget(tr, "a", 3, crasher) })
		changed("prolonged by another VM", func() {
			crashTarget(other, "b", 1, crasher)
			tr.Merge(other.TakeChanges())
		})
		changed("whole answers on another VM", func() {
			other.Started("c", crasher)
			other.Finished("c", crasher, true)
			tr.Merge(other.TakeChanges())
		})
		changed("another request", func() { crashTarget(tr, "d", 1, harmless); crashTarget(tr, "d", 2, harmless) })
		changed("release", func() { tr.Release(crasher) })
		changed("release on another VM", func() {
			crashTarget(tr, "a", 4, crasher)
			crashTarget(tr, "a", 5, crasher)
			other.Release(crasher)
			tr.Merge(other.TakeChanges())
		})
		changed("forgotten", func() {
			time.Sleep(DefaultWindow)
			crashTarget(tr, "e", 1, Fingerprint{3})
		})
	})
}

func TestBrokenConnectionAloneIsNoCrash(t *testing.T) {
	is := is.New(t)
	tr := New(Options{})
	for range 3 {
		tr.Started("a", crasher)
		tr.Crashed("a", Evidence{})
	}
	is.Equal(len(tr.Snapshot().Suspects), 0)
}

func TestQuarantineIsSharedByBroadcastDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, st := is.New(t), &faultyStore{Store: memstore.New(memstore.Options{})}
		st.down.Store(true)
		two := startTracker(t, Options{Store: st})
		one := startTracker(t, Options{Store: st, Broadcast: func(r *pb.Quarantine) { two.Merge(proto.Clone(r).(*pb.Quarantine)) }})
		crashTarget(one, "a", 1, crasher)
		crashTarget(one, "b", 1, crasher)
		time.Sleep(10 * time.Second)
		is.True(isQuarantined(one, crasher) && isQuarantined(two, crasher))
		st.loseAnswers.Store(true)
		st.down.Store(false)
		time.Sleep(5 * time.Second)
		is.True(st.puts.Load() <= 6) // At most one write per second.
		three := startTracker(t, Options{Store: st})
		time.Sleep(time.Second)
		is.True(isQuarantined(three, crasher))
	})
}

func TestSuspectSetsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []*pb.Quarantine
		for i := range rapid.IntRange(1, 6).Draw(t, "vms") {
			set := newSuspectSet()
			for range rapid.IntRange(0, 6).Draw(t, "crashes") {
				s := set.getOrAdd(Fingerprint{byte(rapid.IntRange(0, 2).Draw(t, "fp"))})
				incarnation := rapid.Uint64Range(1, 3).Draw(t, "incarnation")
				s.add(crash{target: 1, incarnation: incarnation, atMS: int64(incarnation) * 1000})
			}
			if rapid.Bool().Draw(t, "clear") {
				set.getOrAdd(Fingerprint{0}).clear(int64(i) * 500)
			}
			for range rapid.IntRange(0, 12).Draw(t, "counts") {
				vm, n := rapid.Uint64Range(1, 2*maxCountingVMs).Draw(t, "vm"), rapid.Uint32Range(1, 2*maxWholeRuns).Draw(t, "n")
				set.getOrAdd(Fingerprint{1}).countWholeRuns(vm, n)
			}
			records = append(records, set.record())
		}
		forward, backward := newSuspectSet(), newSuspectSet()
		for i := range records {
			forward.merge(records[i])
			backward.merge(records[len(records)-1-i])
			backward.merge(records[i]) // A repeated merge has no effect.
		}
		a, b := forward.record(), backward.record()
		if !proto.Equal(a, b) {
			t.Fatalf("merging gave %v, and in reverse order %v", a, b)
		}
	})
}

func TestRecordIsBounded(t *testing.T) {
	is := is.New(t)
	set := newSuspectSet()
	for i := range 3 * maxSuspects {
		var fp Fingerprint
		copy(fp[:], fmt.Sprint(i))
		for n := range 10 {
			set.getOrAdd(fp).add(crash{uint64(n), uint64(i), int64(1_000_000 + i)})
			set.getOrAdd(fp).countWholeRuns(uint64(1)<<60+uint64(n), maxWholeRuns-uint32(n))
		}
	}
	set.expire(1_000_000, time.Hour)
	is.Equal(len(set.byFingerprint), maxSuspects)
	is.True(proto.Size(set.record()) < store.MaxValueBytes/4)
}

// FuzzMerge merges the records of two other VMs, which may be malformed.
func FuzzMerge(f *testing.F) {
	record := func(suspects ...*pb.QuarantineSuspect) []byte {
		data, err := proto.Marshal(&pb.Quarantine{Suspects: suspects})
		is.New(f).NoErr(err)
		return data
	}
	crashes := []*pb.TargetCrash{{Target: 1, Incarnation: 1, AtMs: 5}, {Target: 2, AtMs: -1 << 63}, {Target: 2, AtMs: 1<<63 - 1}, {Target: 3, AtMs: 9}, {Target: 4, AtMs: 9}}
	f.Add(record(&pb.QuarantineSuspect{Fingerprint: crasher[:], ClearedMs: 7, Crashes: crashes}), record(&pb.QuarantineSuspect{Fingerprint: []byte{1}}))
	f.Add(record(&pb.QuarantineSuspect{Fingerprint: crasher[:], WholeRuns: []*pb.WholeRuns{{Vm: 1, Count: 1<<32 - 1}, {}}}), record(&pb.QuarantineSuspect{Fingerprint: crasher[:]}))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		set := newSuspectSet()
		for _, data := range [][]byte{a, b} {
			var m pb.Quarantine
			if proto.Unmarshal(data, &m) != nil {
				return
			}
			set.merge(&m)
		}
		for fp, s := range set.byFingerprint {
			if len(s.crashes) > maxCrashes || len(s.wholeRuns) > maxCountingVMs || s.allWholeRuns() > maxWholeRuns*maxCountingVMs {
				t.Errorf("the suspect %x is over its bounds: %d crashes, %d whole runs", fp, len(s.crashes), s.allWholeRuns())
			}
		}
		if set.merge(set.record()) {
			t.Error("a set that is merged with itself changes")
		}
		set.quarantined(0, 1, time.Hour, time.Minute)
		set.expire(0, time.Hour)
	})
}
