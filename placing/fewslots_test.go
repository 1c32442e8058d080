package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against refusals for an owner that is idle since its last report said that it was busy.
func TestOwnerWithFewSlotsCountsAsBusyForAMomentOnly(t *testing.T) {
	for _, tt := range []struct {
		slots int
		busy  bool
	}{{2, false}, {6, true}} {
		is := is.New(t)
		now := time.Unix(0, 0)
		b := New(Options{Now: func() time.Time { return now }, ServiceTime: 200 * time.Millisecond})
		candidate := Candidate{ID: "a", Slots: tt.slots}
		for range 30 {
			number := b.Begin(&candidate)
			now = now.Add(time.Second)
			b.End("a", number, Outcome{Answered: true, LoadKnown: true, Running: tt.slots, Waiting: 4 * tt.slots})
		}
		_, wait := b.Expected(&candidate)
		is.True(wait > 300*time.Millisecond) // It is busy now.
		now = now.Add(3 * time.Second)
		_, wait = b.Expected(&candidate)
		is.Equal(wait > 0, tt.busy)
	}
}

// Guards against time in a queue that is learned as the speed of a target.
func TestSlowdownOfTargetWithFewSlotsIsThatOfItsRecentLoad(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := New(Options{Now: func() time.Time { return now }, ServiceTime: 200 * time.Millisecond})
	candidate := Candidate{ID: "a", Slots: 2}
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		b.End("a", b.Begin(&candidate), Outcome{Refused: true, Answered: true, LoadKnown: true, Running: 2, Waiting: 8})
	}
	for range 20 {
		// Long after the queue has been worked off, the target is idle.
		now = now.Add(4 * time.Second)
		number := b.Begin(&candidate)
		now = now.Add(200 * time.Millisecond)
		b.End("a", number, Outcome{Answered: true, LoadKnown: true, Running: 2, Waiting: 8})
	}
	o := b.TakeObservations()
	is.Equal(len(o), 1)
	is.Equal(o[0].Answers, 20)
	is.True(o[0].ServiceTime > 190*time.Millisecond)
}
