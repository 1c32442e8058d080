// Package checked makes calls that wait at the store for changes, and notices when the store has lost
// one. A store that answers nothing for a moment may lose the calls that wait or arrive meanwhile, and
// leave their connections open: from then on such a call looks like one without changes.
//
// While a call waits, a short call asks at intervals for the same changes. It shows that there are none,
// or brings them. If it has no answer, the waiting call counts as lost too.
package checked

import (
	"cmp"
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/evidence"
	"github.com/basiltally/basiltally/store"
)

// Call asks for changes. It returns them with the revision from which the next call continues.
type Call func(ctx context.Context) ([]store.Event, store.Version, error)

// Options configures Poll.
type Options struct {
	// Interval is the pause between two checks. Default 1 s: a VM must know all changes 3 s after the
	// end of a disturbance of the store.
	Interval time.Duration
	// Timeout bounds one check. Default 1 s.
	Timeout time.Duration
	// Grace is how long after a check that found changes the waiting call may bring them itself.
	// Default 100 ms.
	Grace time.Duration
	// OnChecked is called after each check that found no changes. It may be nil.
	OnChecked func()
	// Prefix is the prefix of the keys, for log lines.
	Prefix string
	Logger *slog.Logger
}

func (o Options) withDefaults() Options {
	o.Interval = cmp.Or(o.Interval, time.Second)
	o.Timeout = cmp.Or(o.Timeout, time.Second)
	o.Grace = cmp.Or(o.Grace, 100*time.Millisecond)
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return o
}

// Result is the result of a Call.
type Result struct {
	Events []store.Event
	// At is the revision from which the next call continues.
	At  store.Version
	Err error
	// Lost is set if the result is that of a check, because the call that waited was lost. Its changes may
	// have been made at any time since the last check.
	Lost bool
}

func start(ctx context.Context, c Call) <-chan Result {
	done := make(chan Result, 1)
	go func() {
		events, at, err := c(ctx)
		done <- Result{Events: events, At: at, Err: err}
	}()
	return done
}

// Poll returns the result of the call wait, which waits for changes, or that of a check if the store has
// lost wait. Both ask for the changes after the same revision; check does not wait. The context of wait
// ends when Poll returns. If a check has no answer, the result is its error, which has a Timeout
// method.
func Poll(ctx context.Context, wait, check Call, o Options) Result {
	o = o.withDefaults()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	waiting := start(ctx, wait)
	pause := time.NewTimer(o.Interval)
	defer pause.Stop()
	for {
		select {
		case r := <-waiting:
			return r
		case <-pause.C:
		}
		r, answered := o.checkOnce(ctx, waiting, check)
		if answered {
			return r
		}
		if showsLoss(r) {
			return o.replace(ctx, waiting, r)
		}
		if r.Err == nil && o.OnChecked != nil {
			o.OnChecked()
		}
		pause.Reset(o.Interval)
	}
}

// checkOnce returns the result of one check, or that of the waiting call if it comes first.
func (o *Options) checkOnce(ctx context.Context, waiting <-chan Result, check Call) (r Result, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	select {
	case r := <-waiting:
		return r, true
	case r := <-start(ctx, check):
		return r, false
	}
}

// showsLoss reports whether the result of a check shows that the call that waits may be lost: it has
// changes that the call should have brought, or a gap in them, or it had no answer. A check that is
// refused shows nothing; the next one will.
func showsLoss(check Result) bool {
	switch {
	case check.Err == nil:
		return len(check.Events) > 0
	case errors.Is(check.Err, store.ErrCompacted):
		return true
	default:
		return evidence.LosesWaitingCalls(check.Err)
	}
}

// replace returns the result of the waiting call if it comes within Grace, and else that of the check.
func (o *Options) replace(ctx context.Context, waiting <-chan Result, check Result) Result {
	grace := time.NewTimer(o.Grace)
	defer grace.Stop()
	select {
	case r := <-waiting:
		return r
	case <-grace.C:
	}
	if ctx.Err() != nil {
		return Result{Err: ctx.Err()}
	}
	attrs := []any{"prefix", o.Prefix, "events", len(check.Events), "revision", check.At}
	if check.Err != nil {
		attrs = append(attrs, "error", check.Err.Error())
	}
	o.Logger.Warn("the store may have lost a waiting poll", attrs...)
	check.Lost = true
	return check
}
