package warmup

import (
	"math"
	"time"

	"github.com/zeebo/xxh3"
)

// Bounds are the settings of the bound on the requests that a cold target gets in one second.
type Bounds struct {
	// Overage is the multiple of the rate that a cold target can handle, and Slack is the number of requests beyond it, that all
	// VMs together may send in any second. The feature is off while Overage is zero.
	Overage, Slack float64
}

// perSecond returns how many requests a cold target may get from all VMs in any second.
func (b Bounds) perSecond(rate float64) float64 { return rate*b.Overage + b.Slack }

const (
	// sides is the number of groups of VMs, cut off from each other for long, that keep the bound together. A VM that has lost
	// the assigner keeps its last list, so that there are two: the VMs in contact with an assigner and the others.
	sides = 2
	// spacingReserve is the part of the rate at which a VM would send one request more in a second that it does not use.
	spacingReserve = 0.02
)

// Allotment is the part of the VMs in the rate that a cold target can handle.
type Allotment struct {
	// Sharers is the number of VMs that send to the target: those that rank first for it.
	Sharers int
	// PerSecond is the rate at which each of them gets tokens, of which it keeps one at most.
	PerSecond float64
}

// NewAllotment divides the rate of a cold target. A VM sends at most floor(1 + PerSecond) requests in any second, and the sum
// over the sharers of all sides is at most the bound. If there are enough VMs, more of them share the rate than it has
// requests per second. Each of these then sends at most one request in any second, so that many more VMs than Sharers may
// count themselves among the first before the bound is reached.
func NewAllotment(rate float64, b Bounds, vms int) Allotment {
	bound := b.perSecond(rate)
	if bound < 1 {
		return Allotment{}
	}
	share := max(bound/sides, 1)
	var best Allotment
	used := 0.0
	for sharers := max(min(int(rate)+1, int(share), vms), 1); sharers > 0; sharers-- {
		perVM := math.Floor(share / float64(sharers))
		if total := min(rate, float64(sharers)*perVM*(1-spacingReserve)); total > used {
			best, used = Allotment{Sharers: sharers, PerSecond: total / float64(sharers)}, total
		}
	}
	return best
}

// rankOf returns how many of the VMs rank before the VM for the target, by the hash of both.
func rankOf(vm, target string, vms []string) int {
	own, rank := xxh3.HashString(vm+"/"+target), 0
	for _, other := range vms {
		if other != vm && xxh3.HashString(other+"/"+target) < own {
			rank++
		}
	}
	return rank
}

// bucket is the token bucket of this VM for one cold target.
type bucket struct {
	allotment Allotment
	// shares is set if this VM is one of the sharers.
	shares   bool
	tokens   float64
	filledAt time.Time
}

// start empties the bucket. The VMs get their first tokens one after the other, by their ranks, because they learn at the same
// time that a target is cold.
func (b *bucket) start(rank int, now time.Time) {
	b.filledAt = now
	b.tokens = 0
	if b.shares && b.allotment.Sharers > 0 {
		b.tokens = 1 - float64(rank+1)/float64(b.allotment.Sharers)
	}
}

// set changes the allotment. A VM that becomes a sharer starts without a token, because the VM in whose place it comes may
// have sent a request just now.
func (b *bucket) set(a Allotment, shares bool, now time.Time) {
	b.fill(now)
	if shares && !b.shares {
		b.tokens = 0
	}
	b.allotment, b.shares = a, shares
}

func (b *bucket) fill(now time.Time) {
	if since := now.Sub(b.filledAt).Seconds(); since > 0 {
		if b.shares {
			b.tokens = min(b.tokens+since*b.allotment.PerSecond, 1)
		}
		b.filledAt = now
	}
}

// wait returns the time until there is a token; zero if there is one.
func (b *bucket) wait(now time.Time) time.Duration {
	b.fill(now)
	switch {
	case b.shares && b.tokens >= 1:
		return 0
	case !b.shares || b.allotment.PerSecond <= 0:
		return withoutShareRetryAfter
	default:
		return max(time.Duration((1-b.tokens)/b.allotment.PerSecond*float64(time.Second)), time.Millisecond)
	}
}
