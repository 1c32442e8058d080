package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The judge must see each kind of broken promise, or a soak without findings means nothing.
func TestJudgeSeesBrokenPromises(t *testing.T) {
	later := time.Now().Add(time.Minute)
	tests := []struct {
		name string
		play func(j *judge)
		want string
	}{
		{"run twice", func(j *judge) {
			j.Ran("free0", "c0.0-1-once", 0)
			j.Ran("free1", "c0.0-1-once", 0)
		}, "at most once"},
		{"refused, then run", func(j *judge) {
			j.said("c0.0-1-once", "503")
			j.Ran("free0", "c0.0-1-once", 0)
		}, "truthful refusals"},
		{"two owners", func(j *judge) {
			j.Granted("keyed0", 0, 100, 1, later)
			j.Granted("keyed1", 50, 200, 2, later)
			j.Ran("keyed1", "c0.0-1", 60)
		}, "one owner"},
		{"token not above another's", func(j *judge) {
			j.Granted("keyed0", 0, 1<<15, 7, later)
			j.Released("keyed0", 0, 1<<15)
			j.Granted("keyed1", 0, 1<<15, 7, later)
		}, "rising tokens"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			j := newJudge()
			tt.play(j)
			broken := j.verdict()
			is.True(len(broken) > 0)
			is.True(strings.Contains(broken[0], tt.want))
		})
	}
}

func TestJudgeAllowsWhatIsAllowed(t *testing.T) {
	is := is.New(t)
	j := newJudge()
	later := time.Now().Add(time.Minute)
	j.Granted("keyed0", 0, 1<<15, 1, later)
	j.Granted("keyed0", 0, 1<<15, 2, later) // A renewal.
	j.Released("keyed0", 0, 100)
	j.Granted("keyed1", 0, 100, 3, later)
	j.Ran("keyed1", "c0.0-1", 60)
	j.Ran("keyed0", "c0.0-2", 200)
	j.Ran("keyed0", "c0.0-2", 200) // May be repeated.
	j.restarted("keyed0")
	j.Granted("keyed1", 101, 1<<15, 4, later)
	j.Ran("keyed1", "c0.0-3", 200)
	j.said("c0.0-4-once", "503")
	is.Equal(len(j.verdict()), 0)
}
