package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An assigner that has taken over counts the VMs anew. Shares by such a number would add up to a multiple of a bound.
func TestVMCountDoesNotFallAtATakeOver(t *testing.T) {
	is := is.New(t)
	var c vmCount
	now := time.Unix(100, 0)
	is.Equal(c.get(now), 0)
	c.set(59, now)
	for _, n := range []int{4, 20, 17, 51} {
		now = now.Add(100 * time.Millisecond)
		c.set(n, now)
		is.Equal(c.get(now), 59)
	}
	now = now.Add(vmCountHold - 400*time.Millisecond)
	is.Equal(c.get(now), 59)
	now = now.Add(200 * time.Millisecond)
	is.Equal(c.get(now), 51) // The VMs that did not come back are gone.
	c.set(60, now)
	is.Equal(c.get(now), 60) // A higher number is in force at once.
	is.Equal(len(c.held), 0)
}
