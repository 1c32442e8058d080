package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/pb"
)

// Guards against a share of a hot key far below what its owner serves: 2.5 in place of 8 requests a second.
func TestHotKeyShareIsNotBelowWhatItsOwnerAnswers(t *testing.T) {
	is := is.New(t)
	owner := Holder{ID: "a", Address: "a:1"}
	owned := []OwnedRange{{Keys: AllKeys, Owner: owner}}
	states, load := newTargetStates(), NewLoad(loadTimeConstant)
	now := time.Minute
	share := func() int {
		targets := []PlanTarget{{Holder: owner, Capacity: 2.5, Answered: states.answered("a", now)}}
		return HotKeyShares(owned, targets, load, 200)[3377]
	}
	for range 30 {
		now += 125 * time.Millisecond
		states.addReport(&pb.TargetReport{Target: "a", ServiceMicros: 800_000, Answers: 1}, now)
		load.Add(map[Key]uint32{3377: 21}, now)
	}
	t.Logf("share %d, answered %.1f", share(), states.answered("a", now))
	is.True(share() >= 25 && share() <= 48) // 0.9 * 8 of 170 are 42.
	// A named limit is not exceeded.
	limited := []PlanTarget{{Holder: owner, Capacity: 2.5, FullCapacity: 8, Answered: 8}}
	is.True(HotKeyShares(owned, limited, load, 200)[3377] < 15)
	// It is forgotten once the target answers less.
	now += 4 * answerRateMemory
	is.True(states.answered("a", now) < 0.3)
}
