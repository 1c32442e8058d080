package shard

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// spotLoad is a Load that gets random requests, reported every 50 ms.
type spotLoad struct {
	*Load
	rng *rand.Rand
	now time.Duration
}

func newSpotLoad(seed uint64) *spotLoad {
	return &spotLoad{NewLoad(loadTimeConstant), rand.New(rand.NewPCG(seed, 3)), time.Minute}
}

// play adds requests at the rates a second by key range. It returns how many hot spots began.
func (l *spotLoad) play(length time.Duration, rates map[KeyRange]float64) int {
	began := 0
	const step = 50 * time.Millisecond
	for end := l.now + length; l.now < end; {
		l.now += step
		counts := map[Key]uint32{}
		for _, keys := range []KeyRange{AllKeys, {20000, 20199}, {30000, 30000}} {
			expected := rates[keys] * step.Seconds()
			for t := l.rng.ExpFloat64(); t < expected; t += l.rng.ExpFloat64() {
				counts[keys.From+Key(l.rng.IntN(keys.Size()))]++
			}
		}
		l.Add(counts, l.now)
		if l.FindHotSpots(l.now) {
			began++
		}
	}
	return began
}

// Guards against moves for the random variation of an even load.
func TestEvenLoadHasNoHotSpots(t *testing.T) {
	for _, rate := range []float64{20, 500, 3000} {
		is := is.New(t)
		l := newSpotLoad(1)
		l.play(10*time.Second, map[KeyRange]float64{AllKeys: rate})
		is.Equal(l.play(time.Minute, map[KeyRange]float64{AllKeys: rate}), 0)
	}
}

// Guards against all keys that become a hot spot with the first counts of a new assigner or in a surge.
func TestRiseOfAllKeysIsNoHotSpot(t *testing.T) {
	is := is.New(t)
	l := newSpotLoad(1)
	is.Equal(l.play(10*time.Second, map[KeyRange]float64{AllKeys: 6000}), 0)
	is.Equal(l.play(10*time.Second, map[KeyRange]float64{AllKeys: 18000}), 0)
	is.Equal(l.play(5*time.Second, map[KeyRange]float64{AllKeys: 18000, {20000, 20199}: 2000}), 1)
	is.Equal(len(l.HotSpots()), 1)
	is.Equal(l.play(15*time.Second, map[KeyRange]float64{AllKeys: 18000, {20000, 20199}: 2000}), 0)
	is.Equal(len(l.HotSpots()), 0)
	is.True(l.Projected(l.now).Rate(KeyRange{20000, 20199}) > 1700)
}

// Guards against a hot spot that is found late, cut into too few parts, or seems to last on.
func TestRateOfHotSpotIsKnownSoon(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		l := newSpotLoad(seed)
		l.play(10*time.Second, map[KeyRange]float64{AllKeys: 560})
		hot := map[KeyRange]float64{AllKeys: 314, {20000, 20199}: 246}
		is.Equal(l.play(150*time.Millisecond, hot), 1)
		l.play(150*time.Millisecond, hot)
		spots := l.HotSpots()
		is.Equal(len(spots), 1)
		is.True(spots[0].Keys.Contains(KeyRange{20015, 20184}))
		is.True(KeyRange{19900, 20300}.Contains(spots[0].Keys))
		is.True(l.Rate(spots[0].Keys) < 130) // The moving average.
		expected := l.Projected(l.now).Rate(spots[0].Keys)
		is.True(expected > 246*0.65 && expected < 246*1.65)
		l.play(3*time.Second, hot)
		is.Equal(len(l.HotSpots()), 1)
		l.play(1500*time.Millisecond, map[KeyRange]float64{AllKeys: 560})
		is.Equal(len(l.HotSpots()), 0)
		is.True(l.Projected(l.now).Rate(KeyRange{20000, 20199}) < 20)
	}
}

// A single hot key must not be taken for a hot spot whose load can be divided.
func TestHotKeyKeepsItsRateInHotSpot(t *testing.T) {
	is := is.New(t)
	l := newSpotLoad(1)
	l.play(10*time.Second, map[KeyRange]float64{AllKeys: 560})
	l.play(500*time.Millisecond, map[KeyRange]float64{AllKeys: 460, {30000, 30000}: 100})
	p := l.Projected(l.now)
	is.True(p.Rate(KeyRange{30000, 30000}) > 60)
	is.True(p.Rate(KeyRange{29980, 30020}) < 140)
}

// Deployments with six slots are planned as without the search for hot spots, of which their assigner does none.
func TestHotSpotsAreSoughtForFewSlotsOnly(t *testing.T) {
	is := is.New(t)
	owned, targets, load, now := twoSlotPlan(152, true)
	two := Plan(owned, targets, load, PlanOptions{}, now)
	for i := range targets {
		targets[i].Slots = 6
	}
	six := Plan(owned, targets, load, PlanOptions{}, now)
	for i := range targets {
		targets[i].Slots = 0
	}
	is.Equal(six, Plan(owned, targets, load, PlanOptions{}, now))
	is.True(len(six) <= 38)  // A quarter of the targets.
	is.True(len(two) >= 100) // The hot spot is cut up at once.
}

// Guards against a part of a hot spot that stays with its owner because no other target has room.
func TestHotSpotBeyondAllCapacityIsShared(t *testing.T) {
	is := is.New(t)
	w := newPlanSimulation(0.1, 0.1, 0.1, 0.1)
	for i := range w.targets {
		w.targets[i].Slots = 2
	}
	w.applyLoad(3*time.Second, map[KeyRange]float64{AllKeys: 8})
	counts := map[Key]uint32{}
	for k := int(LastKey) - 99; k <= int(LastKey); k++ {
		counts[Key(k)] = 1 // 140 requests a second, of which the targets can serve 32.
	}
	w.load.Add(counts, w.now)
	is.True(w.load.FindHotSpots(w.now))
	w.plan()
	owners := map[string]int{}
	for k := int(LastKey) - 99; k <= int(LastKey); k++ {
		owners[w.ownerOf(Key(k))]++
	}
	is.Equal(len(owners), 4)
	for _, n := range owners {
		is.True(n <= 40)
	}
	total := 0
	for _, target := range w.targets {
		total += w.keysOf(target.Holder.ID)
	}
	is.Equal(total, AllKeys.Size())
}
