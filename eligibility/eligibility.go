// Package eligibility decides whether a request may be sent to a target. All paths of a
// request ask it last, right before the first byte is written, because a request may wait
// for a connection or be repeated seconds after its target was chosen.
package eligibility

import (
	"cmp"
	"fmt"
	"time"

	"github.com/basiltally/basiltally/fleet"
)

// Reason states why a request may not be sent to a target.
type Reason int

const (
	// None means that the request may be sent.
	None Reason = iota
	// Leaving means that the target leaves and takes no new requests.
	Leaving
)

// String returns the name of the reason.
func (r Reason) String() string { return [...]string{"none", "leaving"}[r] }

// Verdict states whether a request may be sent to a target.
type Verdict struct {
	Reason Reason
	// Since is how long the reason holds at most.
	Since time.Duration
}

// OK reports whether the request may be sent.
func (v Verdict) OK() bool { return v.Reason == None }

// Error implements error, for a Verdict that is not OK.
func (v Verdict) Error() string {
	return fmt.Sprintf("the target is not eligible: %s for up to %d ms", v.Reason, v.Since.Milliseconds())
}

// Options configures a Tracker.
type Options struct {
	// Directory has the targets' entries.
	Directory *fleet.Directory
	// DrainTime is how long a target takes requests after it has said that it leaves. Default
	// 2 s.
	DrainTime time.Duration
	// Now returns the current time. Default time.Now.
	Now func() time.Time
}

// drainMargin is how long before the end of a target's drain time the last request is sent to it.
// It covers the way of the request, and of the change through the store.
const drainMargin = 300 * time.Millisecond

// Tracker decides about the incarnations of targets. It is safe for concurrent use.
type Tracker struct{ opts Options }

// New returns a Tracker.
func New(opts Options) *Tracker {
	opts.DrainTime = cmp.Or(opts.DrainTime, 2*time.Second)
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Tracker{opts: opts}
}

// Decide returns whether a request may be sent to the incarnation now.
func (t *Tracker) Decide(i fleet.Incarnation) Verdict {
	since := t.opts.Directory.Snapshot().LeavingSince(i)
	if since.IsZero() {
		return Verdict{}
	}
	if leaving := t.opts.Now().Sub(since); leaving > t.opts.DrainTime-drainMargin {
		return Verdict{Reason: Leaving, Since: leaving}
	}
	return Verdict{}
}
