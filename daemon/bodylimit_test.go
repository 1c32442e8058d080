package daemon

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/placing"
)

// Guards against shares by a wrong number of VMs, which would add up to more than a target holds.
func TestShareOfTargetBodyBytes(t *testing.T) {
	is := is.New(t)
	n := newIdleNode()
	target := &placing.Candidate{ID: "t", Service: "s", Slots: 6}
	// fits reports whether a body of that length fits beside one of 100 bytes.
	fits := func(bytes int64) bool {
		number, ok := n.balancer.BeginBody(target, 100)
		is.True(ok)
		defer n.balancer.End("t", number, placing.Outcome{Answered: true})
		return n.balancer.BodyFits("t", bytes)
	}
	vms := func(count int) {
		list := make([]string, count)
		for i := range list {
			list[i] = fmt.Sprintf("127.0.0.1:%d", i+1)
		}
		n.setVMs(list)
	}
	set := func(bytes int64) {
		s := *n.settings.Load()
		s.Gateway.TargetBodyBytes = bytes
		is.True(!needsRestart(n.settings.Load(), &s))
		n.applySettings(&s)
	}
	is.True(fits(1 << 40)) // Off by default.
	set(10_000)
	is.True(!fits(1)) // The number of VMs is unknown.
	vms(10)
	is.True(fits(900))
	is.True(!fits(901))
	vms(20)
	is.True(fits(400))
	is.True(!fits(401))
	vms(2) // An assigner that has taken over counts anew.
	is.True(!fits(401))
	set(50)
	is.True(!fits(1)) // One request remains possible, as the calls of BeginBody show.
	set(0)
	is.True(fits(1 << 40))
}
