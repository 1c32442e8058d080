package shard

import (
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
)

// One key gets 700 requests a second, of which its owner can serve 20. The VMs must learn which share that is, for this
// key only, and that it has ended.
func TestHotKeyIsSharedOutByWhatItsOwnerCanServe(t *testing.T) {
	is := is.New(t)
	owner, other := Holder{ID: "a", Address: "a:1"}, Holder{ID: "b", Address: "b:1"}
	targets := []PlanTarget{{Holder: owner, Capacity: 20}, {Holder: other, Capacity: 20}}
	lm := NewLeaseManager(LeaseOptions{}, 1, nil, 0, 0)
	lm.Propose([]Move{{KeyRange{0, 30000}, owner}, {KeyRange{30001, LastKey}, other}}, 0)
	lm.FinishProposal(true)
	answerOrders(lm, 0, "")
	load := NewLoad(700 * time.Millisecond)
	load.Add(map[Key]uint32{3377: 490, 100: 3, 40000: 10}, time.Second)
	shares := HotKeyShares(lm.OwnedRanges(), targets, load, 295)
	is.Equal(shares, map[Key]int{3377: 25}) // 0.9 * 20 of 700.
	// Ten VMs see the load of the owner by themselves.
	is.Equal(len(HotKeyShares(lm.OwnedRanges(), targets, load, 10)), 0)
	lm.SetShares(shares)
	table := lm.TakeTable(time.Second)
	is.Equal(table.Find(3377).Share, 25)
	is.Equal(table.Find(3377).Keys, KeyRange{3377, 3377})
	is.True(table.Find(3377).Held)
	for _, k := range []Key{0, 3376, 3378, 30000, 40000} {
		is.Equal(table.Find(k).Share, 0)
		is.True(table.Find(k).Held)
	}
	lm.SetShares(map[Key]int{3377: 27})
	is.Equal(lm.TakeTable(time.Second), nil) // Too small a change.

	// All parts are renewed, as one order each.
	orders := lm.DueOrders(2 * time.Second)
	is.Equal(len(orders), 4)
	for _, o := range orders {
		lm.HandleResult(Result{Order: o}, 2*time.Second)
	}
	lm.SetShares(nil)
	table = lm.TakeTable(2 * time.Second)
	is.Equal(table.Find(3377).Share, 0)
	// The parts are joined again with the next move.
	lm.Propose([]Move{{KeyRange{50000, 50000}, owner}}, 3*time.Second)
	lm.FinishProposal(true)
	is.Equal(lm.TakeTable(3*time.Second).Find(3377).Keys, KeyRange{0, 30000})
}

// Guards against a share that goes on for seconds after its key is no longer requested.
func TestShareEndsSoonAfterTheHotKey(t *testing.T) {
	is := is.New(t)
	owner := Holder{ID: "a", Address: "a:1"}
	owned, targets := []OwnedRange{{Keys: AllKeys, Owner: owner}}, []PlanTarget{{Holder: owner, Capacity: 8}}
	load, now := NewLoad(loadTimeConstant), time.Minute
	play := func(count uint32) int {
		now += 50 * time.Millisecond
		load.Add(map[Key]uint32{3377: count}, now)
		shares := HotKeyShares(owned, targets, load, 200)
		load.WatchKeys(maps.Keys(shares))
		return shares[3377]
	}
	for range 60 {
		play(9) // 180 a second.
	}
	for i := range 40 {
		share := play(uint32(8 + 2*(i%2)))
		is.True(share >= 36 && share <= 50) // 0.9 * 8 of 180 are 40.
	}
	ended, last, refused := now, now, 0.0
	for i := range 80 {
		count := uint32((i + 1) % 4 / 3) // 5 a second.
		if share := play(count); share > 0 {
			last = now
			refused += float64(count) * (1 - float64(share)/WholeShare)
		}
	}
	t.Logf("share for %v after the end, in which %.1f of the requests were refused", last-ended, refused)
	is.True(last-ended <= 1500*time.Millisecond)
	is.True(refused < 5)
	// The key is hot again.
	for range 20 {
		play(9)
	}
	is.True(play(9) > 0)
	// Keys without requests are not tracked for long.
	now += 10 * time.Second
	play(0)
	is.Equal(len(load.recent), 0)
}
