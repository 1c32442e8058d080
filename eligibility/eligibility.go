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
	// Since is how long the reason has been known.
	Since time.Duration
}

// OK reports whether the request may be sent.
func (v Verdict) OK() bool { return v.Reason == None }

// Error implements error, for a Verdict that is not OK.
func (v Verdict) Error() string {
	return fmt.Sprintf("the target is not eligible: %s, known for %d ms", v.Reason, v.Since.Milliseconds())
}

// Options configures a Tracker.
type Options struct {
	// Directory has the targets' entries.
	Directory *fleet.Directory
	// LeavingGrace is how long the owner of a key still gets requests after this VM has
	// learned that it leaves, while its keys move to another target. Default 600 ms.
	LeavingGrace time.Duration
	// Now returns the current time. Default time.Now.
	Now func() time.Time
}

// Tracker decides about the incarnations of targets. It is safe for concurrent use.
type Tracker struct{ opts Options }

// New returns a Tracker.
func New(opts Options) *Tracker {
	opts.LeavingGrace = cmp.Or(opts.LeavingGrace, 600*time.Millisecond)
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
	if known := t.opts.Now().Sub(since); known > t.opts.LeavingGrace {
		return Verdict{Reason: Leaving, Since: known}
	}
	return Verdict{}
}
