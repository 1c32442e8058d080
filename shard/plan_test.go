package shard

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// planWorld applies plans at once, as if every move succeeded.
type planWorld struct {
	targets []PlanTarget
	owned   []Owned
	load    *Load
	now     time.Duration
	moves   int
	// moved is the number of keys that changed hands.
	moved int
}

// newPlanWorld has targets of the given speeds; one of speed 1 serves 80 requests a second.
func newPlanWorld(speeds ...float64) *planWorld {
	w := &planWorld{load: NewLoad(700 * time.Millisecond), now: time.Minute}
	for i, speed := range speeds {
		w.targets = append(w.targets, PlanTarget{Holder: Holder{ID: fmt.Sprintf("t%02d", i)}, Capacity: 80 * speed})
	}
	w.plan()
	w.moves, w.moved = 0, 0
	return w
}

// offer plays requests at the rate a second on the keys, and plans five times a second.
func (w *planWorld) offer(length time.Duration, rates map[KeyRange]float64) {
	const step = 50 * time.Millisecond
	for end := w.now + length; w.now < end; w.now += step {
		counts := map[Key]uint32{}
		for keys, rate := range rates {
			// Whole requests on keys spread over the range, more precise over time.
			n := int(rate*(w.now+step).Seconds()) - int(rate*w.now.Seconds())
			for i := range n {
				counts[keys.From+Key((i*7919+int(w.now/step)*104729)%keys.Size())]++
			}
		}
		w.load.Add(counts, w.now)
		if w.now%(200*time.Millisecond) == 0 {
			w.plan()
		}
	}
}

func (w *planWorld) plan() {
	for i := range w.targets {
		w.targets[i].Fresh = w.keysOf(w.targets[i].Holder.ID) == 0
	}
	for _, m := range Plan(w.owned, w.targets, w.load, PlanOptions{}, w.now) {
		w.apply(m)
	}
}

func (w *planWorld) apply(m Move) {
	w.moves++
	w.moved += m.Keys.Size()
	var next []Owned
	for _, o := range w.owned {
		if !o.Keys.Overlaps(m.Keys) {
			next = append(next, o)
			continue
		}
		if o.Keys.From < m.Keys.From {
			left := o
			left.Keys.To = m.Keys.From - 1
			next = append(next, left)
		}
		if o.Keys.To > m.Keys.To {
			right := o
			right.Keys.From = m.Keys.To + 1
			next = append(next, right)
		}
	}
	w.owned = append(next, Owned{Keys: m.Keys, Owner: m.To, Settled: true, Since: w.now})
	slices.SortFunc(w.owned, func(a, b Owned) int { return cmp.Compare(a.Keys.From, b.Keys.From) })
}

func (w *planWorld) keysOf(id string) int {
	n := 0
	for _, o := range w.owned {
		if o.Owner.ID == id {
			n += o.Keys.Size()
		}
	}
	return n
}

func (w *planWorld) ownerOf(k Key) string {
	for _, o := range w.owned {
		if o.Keys.Contains(KeyRange{k, k}) {
			return o.Owner.ID
		}
	}
	return ""
}

// use returns the share of its capacity that a target is asked for.
func (w *planWorld) use(id string) float64 {
	rate := 0.0
	for _, o := range w.owned {
		if o.Owner.ID == id {
			rate += w.load.Of(o.Keys)
		}
	}
	for _, t := range w.targets {
		if t.Holder.ID == id {
			return rate / t.Capacity
		}
	}
	return 0
}

func (w *planWorld) mostUse() float64 {
	most := 0.0
	for _, t := range w.targets {
		most = max(most, w.use(t.Holder.ID))
	}
	return most
}

var mixedSpeeds = []float64{0.6, 1, 1.4, 1, 0.6, 1.4, 1, 1, 0.6, 1.4, 1, 0.6, 1.4, 1, 1, 0.6}

func TestFirstTableDividesByCapacity(t *testing.T) {
	is := is.New(t)
	w := newPlanWorld(1, 3)
	is.Equal(w.keysOf("t00"), 16384)
	is.Equal(w.keysOf("t01"), 49152)
}

// A hot spot of 200 neighbouring keys with three times the power of one target is
// shared by several within a second, and spread once its full rate is known.
func TestHotRangeIsSharedWithinASecond(t *testing.T) {
	is := is.New(t)
	w := newPlanWorld(mixedSpeeds...)
	base := map[KeyRange]float64{AllKeys: 300}
	w.offer(5*time.Second, base)
	hot := map[KeyRange]float64{AllKeys: 300, {20000, 20199}: 240}
	w.offer(time.Second, hot)
	owners := map[string]bool{}
	for k := Key(20000); k < 20200; k++ {
		owners[w.ownerOf(k)] = true
	}
	is.True(len(owners) >= 3)
	w.offer(time.Second, hot)
	is.True(w.mostUse() < 0.85)
	is.True(w.moved < AllKeys.Size()/4) // The hot spot is narrow; little else changes hands.
}

// A single hot key with more than the power of most targets ends up on a fast one
// that has little else, without being passed round.
func TestHeavyKeyGoesToAFastTargetOnce(t *testing.T) {
	is := is.New(t)
	w := newPlanWorld(mixedSpeeds...)
	w.offer(5*time.Second, map[KeyRange]float64{AllKeys: 300})
	owners := map[string]bool{}
	for range 50 {
		w.offer(100*time.Millisecond, map[KeyRange]float64{AllKeys: 300, {5000, 5000}: 100})
		owners[w.ownerOf(5000)] = true
	}
	owner := w.ownerOf(5000)
	for _, target := range w.targets {
		if target.Holder.ID == owner {
			is.Equal(target.Capacity, 80*1.4)
		}
	}
	is.True(len(owners) <= 2)    // It moved once.
	is.True(w.use(owner) < 1.05) // 100 of 112 requests a second are the key's.
}

func TestRangesOfALostTargetAreDistributed(t *testing.T) {
	is := is.New(t)
	w := newPlanWorld(1, 1, 1, 1, 1)
	w.offer(3*time.Second, map[KeyRange]float64{AllKeys: 200})
	w.targets = w.targets[1:]
	w.plan()
	is.Equal(w.keysOf("t00"), 0)
	for _, target := range w.targets {
		is.True(w.use(target.Holder.ID) < 1.5*50.0/80)
	}
}

func TestFreshTargetGetsKeys(t *testing.T) {
	is := is.New(t)
	w := newPlanWorld(1, 1, 1)
	w.offer(2*time.Second, map[KeyRange]float64{AllKeys: 100})
	w.targets = append(w.targets, PlanTarget{Holder: Holder{ID: "new"}, Capacity: 80})
	w.plan()
	is.True(w.keysOf("new") > 0)
	is.True(w.use("new") > 0)
}

func TestEvenLoadMovesNothing(t *testing.T) {
	is := is.New(t)
	w := newPlanWorld(mixedSpeeds...)
	w.offer(20*time.Second, map[KeyRange]float64{AllKeys: 400})
	is.Equal(w.moves, 0)
}
