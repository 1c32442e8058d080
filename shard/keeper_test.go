package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// answer gives the orders of a step their results: grants are taken, releases too
// unless the target is one of the silent.
func answer(k *Keeper, now time.Duration, silent string) {
	for _, o := range k.Step(now) {
		r := Result{Order: o, Handover: "h"}
		if o.To.ID == silent {
			r.Err = errors.WithMessage(ErrNotDone, "connection refused")
		}
		k.Done(r, now)
	}
}

// A successor must not wait once more for a former owner whose lease the last
// assigner has waited out.
func TestRecordForgetsFormerOwnersThatHoldNothing(t *testing.T) {
	is := is.New(t)
	a, b := Holder{ID: "a", Address: "a:1"}, Holder{ID: "b", Address: "b:1"}
	k := NewKeeper(LeaseOptions{}, 1, nil, 0, 0)
	k.Propose([]Move{{AllKeys, a}}, 0)
	k.Saved(true)
	answer(k, 0, "")
	k.Propose([]Move{{AllKeys, b}}, time.Second)
	k.Saved(true)
	is.True(!k.Outdated())
	now := time.Second
	for ; !k.Owned()[0].Settled; now += 100 * time.Millisecond {
		answer(k, now, "a")
		is.True(now < 6*time.Second)
	}
	is.True(k.Outdated())
	r := k.Record()
	is.Equal(len(r.Ranges[0].Formers), 0)
	is.True(!k.Outdated())

	next := NewKeeper(LeaseOptions{}, 2, r, now, now)
	answer(next, now, "a")
	is.True(next.Owned()[0].Settled)
}
