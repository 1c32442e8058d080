package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a checker that misses a kind of broken promise: a soak without findings
// would then mean nothing.
func TestCheckerReportsBrokenPromises(t *testing.T) {
	later := time.Now().Add(time.Minute)
	tests := []struct {
		name string
		play func(c *checker)
		want string
	}{
		{"run twice", func(c *checker) {
			c.Ran("free0", "c0.0-1-once", 0)
			c.Ran("free1", "c0.0-1-once", 0)
		}, "at most once"},
		{"refused, then run", func(c *checker) {
			c.noteRefusal("c0.0-1-once", "503")
			c.Ran("free0", "c0.0-1-once", 0)
		}, "truthful refusals"},
		{"two owners", func(c *checker) {
			c.Granted("keyed0", 0, 100, 1, later)
			c.Granted("keyed1", 50, 200, 2, later)
			c.Ran("keyed1", "c0.0-1", 60)
		}, "one owner"},
		{"two owners, by a longer hold from before the last one", func(c *checker) {
			c.Granted("keyed0", 0, 100, 1, later)
			c.Granted("keyed0", 0, 100, 2, time.Now())
			c.Granted("keyed1", 50, 200, 3, later)
			c.Ran("keyed1", "c0.0-1", 60)
		}, "one owner"},
		{"given on while its last holder works", func(c *checker) {
			c.Granted("keyed0", 0, 100, 1, later)
			c.Ran("keyed0", "c0.0-1", 60)
			c.Released("keyed0", 0, 100)
			c.Granted("keyed1", 50, 200, 2, later)
		}, "given on"},
		{"given on while its last holder works under a renewed hold", func(c *checker) {
			c.Granted("keyed0", 0, 100, 1, time.Now().Add(time.Millisecond))
			c.Ran("keyed0", "c0.0-1", 60)
			c.Granted("keyed0", 0, 100, 1, later)
			c.Released("keyed0", 0, 100)
			time.Sleep(2 * time.Millisecond)
			c.Granted("keyed1", 50, 200, 2, later)
		}, "given on"},
		{"token not above another's", func(c *checker) {
			c.Granted("keyed0", 0, 1<<15, 7, later)
			c.Released("keyed0", 0, 1<<15)
			c.Granted("keyed1", 0, 1<<15, 7, later)
		}, "rising tokens"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newChecker()
			tt.play(c)
			broken := c.finalCheck()
			is.True(len(broken) > 0)
			is.True(strings.Contains(broken[0], tt.want))
		})
	}
}

func TestCheckerAcceptsAllowedEvents(t *testing.T) {
	is := is.New(t)
	c := newChecker()
	later := time.Now().Add(time.Minute)
	c.Granted("keyed0", 0, 1<<15, 1, later)
	c.Granted("keyed0", 0, 1<<15, 2, later) // The same target renews its grant.
	c.Released("keyed0", 0, 100)
	c.Granted("keyed1", 0, 100, 3, later)
	c.Ran("keyed1", "c0.0-1", 60)
	c.Ran("keyed0", "c0.0-2", 200)
	c.Ran("keyed0", "c0.0-2", 200) // Other requests than at-most-once ones may be repeated.
	c.clearHeld("keyed0")
	c.Granted("keyed1", 101, 1<<15, 4, later)
	c.Ran("keyed1", "c0.0-3", 200)
	c.noteRefusal("c0.0-4-once", "503")
	c.clearHeld("keyed1")
	// Keys may be given on once the work on them has ended, once its hold has run out, and if other keys are worked on.
	c.Granted("keyed0", 0, 1<<15, 5, time.Now().Add(time.Millisecond))
	c.Ran("keyed0", "c0.0-5", 100)
	c.Ran("keyed0", "c0.0-6", 200)
	c.Ran("keyed0", "c0.0-7", 300)
	c.Released("keyed0", 0, 250)
	c.Ended("keyed0", "c0.0-5", 100)
	c.Granted("keyed1", 0, 150, 6, later)
	time.Sleep(2 * time.Millisecond)
	c.Granted("keyed1", 151, 250, 7, later)
	// The process of a target that was restarted works on nothing.
	c.Ran("keyed1", "c0.0-8", 160)
	c.clearHeld("keyed1")
	c.Granted("keyed0", 0, 250, 8, later)
	is.Equal(len(c.finalCheck()), 0)
}
