package eligibility

import (
	"math"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// LimitMemory is the time without news of a limit from which the VMs without a share may try whether it still holds. A
	// VM with a share learns it from the answers to its own requests.
	LimitMemory = 15 * time.Second
	// trialTurn is the time in which one VM without a share may send one request as a trial: the time over which targets
	// count their requests, so that the trials of all VMs stay within what the bursts leave.
	trialTurn = 4 * time.Second
	// repeatInterval is the least time between two reports of a limit that the target names again, unchanged. A new
	// assigner, or one that lost a report, knows the limit that much later.
	repeatInterval = time.Second
	// burstSeconds and burstRequests bound what all VMs together may send at once, beyond the
	// limit's rate: burstSeconds times the limit, and burstRequests. A target allows in 4 s half
	// as much again as its limit, and 5 requests; the rest of that covers requests on their way.
	burstSeconds  = 1.2
	burstRequests = 3
	// withoutShareRetryAfter is the time after which a caller may return to a VM that has no
	// share of a limit. Most callers return to another VM.
	withoutShareRetryAfter = time.Second
	// maxPromise bounds how far ahead refused callers are asked to return.
	maxPromise = 2 * time.Second
)

// limit is what a target that takes fewer requests than usual gets from this VM.
type limit struct {
	// perSecond is the number of requests a second that the target takes from all VMs; zero if
	// it takes all.
	perSecond float64
	// statedAt is when the target last named its limit, or that it has none.
	statedAt time.Time
	share    share
	// tokens is the number of requests that this VM may send, as of filledAt.
	tokens   float64
	filledAt time.Time
	// trialsFrom is when the VM last had news of the limit or of its share, from which its turns for trials count. triedAt is
	// when it last sent one; zero if it never did.
	trialsFrom, triedAt time.Time
	// promised is the latest instant at which a refused caller was asked to return.
	promised time.Time
}

// share is this VM's part of a limit.
type share struct {
	// perSecond is the rate at which tokens are added, and burst is the highest number of them.
	// Both are zero if the VM has no part.
	perSecond, burst float64
	// trialAfter is the time without news of the limit after which a VM without a part has its first turn for a trial, and
	// trialEvery the time between two turns.
	trialAfter, trialEvery time.Duration
}

// shareOf returns the part of the limit that the VM has, without asking the others. All parts
// together make up the limit, and all bursts burstSeconds of it and burstRequests. If the
// bursts would be less than one request, the limit is shared by the VMs that rank first for the
// target. count is the number of VMs, of which the list may lack some. If neither is known, the VM has no part: others have
// the whole.
func shareOf(perSecond float64, target, vm string, vms []string, count int) share {
	count = max(count, len(vms))
	if count == 0 {
		return share{trialAfter: LimitMemory, trialEvery: LimitMemory}
	}
	burst := burstSeconds*perSecond + burstRequests
	sharers := min(count, int(burst))
	if others := count - sharers; others > 0 {
		if rank := rankOf(vm, target, vms); rank >= sharers {
			turn := min(rank-sharers, others-1)
			return share{trialAfter: LimitMemory + time.Duration(turn)*trialTurn, trialEvery: time.Duration(others) * trialTurn}
		}
	}
	return share{perSecond: perSecond / float64(sharers), burst: burst / float64(sharers)}
}

// rankOf returns how many of the VMs rank before the VM for the target, by the hash of both. A VM
// that is not in the list ranks last.
func rankOf(vm, target string, vms []string) int {
	own, rank, listed := xxh3.HashString(vm+"/"+target), 0, false
	for _, other := range vms {
		if other == vm {
			listed = true
		} else if xxh3.HashString(other+"/"+target) < own {
			rank++
		}
	}
	if !listed {
		return math.MaxInt
	}
	return rank
}

// active reports whether the limit holds. It does until the target names none: silence shows nothing, as a target that gets no
// requests gives no answers.
func (l *limit) active() bool { return l.perSecond > 0 }

// named reports whether the target has ever named a limit.
func (l *limit) named() bool { return !l.statedAt.IsZero() }

// state sets what the target has named at the instant at. It starts with half of the burst, because
// requests are on their way.
func (l *limit) state(perSecond float64, s share, at, now time.Time) {
	if !l.active() {
		l.tokens, l.filledAt = s.burst/2, now
	}
	l.fill(now)
	switch {
	case s != l.share:
		l.trialsFrom = now
	case at.After(l.statedAt):
		l.trialsFrom = at
	}
	l.perSecond, l.statedAt, l.share = perSecond, at, s
	l.tokens = min(l.tokens, s.burst)
}

// fill adds the tokens since the last call.
func (l *limit) fill(now time.Time) {
	if since := now.Sub(l.filledAt).Seconds(); since > 0 {
		l.tokens = min(l.tokens+since*l.share.perSecond, l.share.burst)
	}
	l.filledAt = now
}

// wait returns the time until there is a token; zero if there is one.
func (l *limit) wait(now time.Time) time.Duration {
	l.fill(now)
	switch {
	case l.tokens >= 1 || l.mayTry(now):
		return 0
	case l.share.perSecond == 0:
		return withoutShareRetryAfter
	default:
		return time.Duration((1 - l.tokens) / l.share.perSecond * float64(time.Second))
	}
}

// mayTry reports whether the VM has no share, but a turn for a trial that it has not used.
func (l *limit) mayTry(now time.Time) bool {
	since := now.Sub(l.trialsFrom) - l.share.trialAfter
	return l.share.perSecond == 0 && since >= 0 && since%l.share.trialEvery < trialTurn && now.Sub(l.triedAt) >= trialTurn
}

// take counts a request that is sent.
func (l *limit) take(now time.Time) {
	if l.share.perSecond == 0 {
		l.triedAt = now
		return
	}
	l.tokens--
}

// promise returns the time after which one more refused caller should return. The callers are
// asked to return one after the other, at the rate of the tokens.
func (l *limit) promise(now time.Time) time.Duration {
	next := now.Add(l.wait(now))
	if l.share.perSecond > 0 {
		after := l.promised.Add(time.Duration(float64(time.Second) / l.share.perSecond))
		if after.After(next) {
			next = after
		}
	}
	if latest := now.Add(maxPromise); next.After(latest) {
		next = latest
	}
	l.promised = next
	return next.Sub(now)
}
