package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/pb"
)

// 809 targets whose states vary at random, but not so that it matters, must take less than 3 KB/s of each VM. A
// target that becomes slow, fails, fills up or leaves must be sent with the next update.
func TestOnlyStatesThatMatterAreSent(t *testing.T) {
	is := is.New(t)
	states := newTargetStates()
	id := func(i int) string { return fmt.Sprintf("i-%08x", i) }
	report := func(i int, serviceTime time.Duration, load uint32, failures uint32, now time.Duration) {
		states.addReport(&pb.TargetReport{
			Target: id(i), ServiceMicros: uint32(serviceTime.Microseconds()), Answers: 4, Failures: failures, Told: true, Load: load,
		}, now)
	}
	now := time.Minute
	sent := 0
	for step := range 20 {
		now += targetsInterval
		for i := range 809 {
			report(i, 440*time.Millisecond+time.Duration((i+7*step)%40-20)*time.Millisecond, uint32((i+step)%4), 0, now)
		}
		n := len(states.takeChanged(now))
		if step > 0 {
			sent += n
		}
	}
	const bytesOfState = 24
	rate := float64(sent) * bytesOfState / (19 * targetsInterval).Seconds()
	t.Logf("%.0f bytes a second", rate)
	is.True(rate < 3<<10)
	now += targetsInterval
	for range 8 {
		report(1, time.Second, 2, 0, now)
		report(2, 440*time.Millisecond, 2, 4, now)
		report(3, 440*time.Millisecond, 9, 0, now)
	}
	leaving := int64(5)
	states.addReport(&pb.TargetReport{Target: id(4), LeavingBorn: &leaving}, now)
	got := map[string]bool{}
	for _, s := range states.takeChanged(now) {
		got[s.GetTarget()] = true
	}
	is.True(got[id(1)] && got[id(2)] && got[id(3)] && got[id(4)])
	is.Equal(len(states.all(now)), 809)
}
