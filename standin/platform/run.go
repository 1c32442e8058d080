package platform

import (
	"net/http"
	"time"
)

// run is a request that has begun to run.
type run struct {
	id  string
	key uint16
	// work is how long it runs. long is set if SetLongWork has decided on that.
	work time.Duration
	long bool
	// until is the end of the hold under which it runs. A release does not change it.
	until time.Time
	// loseAnswer breaks the connection instead of answering.
	loseAnswer bool
	// ended is closed when it ends.
	ended chan struct{}
}

// begin begins to run a request. It returns nil if the target does not hold its key.
func (t *Target) begin(r *http.Request, id string, key uint16, arrived time.Time) *run {
	t.mu.Lock()
	defer t.mu.Unlock()
	until := t.heldUntilLocked(key)
	if t.opts.Keyed && !time.Now().Before(until) {
		return nil
	}
	t.reachedLocked(r, arrived)
	t.runs[id]++
	run := &run{id: id, key: key, work: t.opts.Work, until: until, loseAnswer: t.loseAnswers, ended: make(chan struct{})}
	if t.longEvery > 0 {
		t.longBegun++
		if t.longBegun%t.longEvery == 0 && t.longRunning < max(1, t.opts.Slots/2) {
			run.work, run.long = t.longWork, true
			t.longRunning++
		}
	}
	t.running[run] = struct{}{}
	if t.opts.Observer != nil {
		t.opts.Observer.Ran(t.opts.ID, id, key)
	}
	return run
}

// finish waits until the request has run, and reports whether it outlasted its hold, at whose end it is ended then. If
// the target is stopped meanwhile, it ends the handler.
func (t *Target) finish(run *run) (outlasted bool) {
	end := time.Now().Add(run.work)
	for {
		wait := time.Until(end)
		if t.opts.Keyed {
			t.mu.Lock()
			wait = min(wait, time.Until(run.until))
			t.mu.Unlock()
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-t.stopped:
			timer.Stop()
			t.mu.Lock()
			defer t.mu.Unlock()
			t.endLocked(run)
			panic(http.ErrAbortHandler)
		}
		t.mu.Lock()
		now := time.Now()
		// A grant may have come meanwhile.
		outlasted = t.opts.Keyed && !now.Before(run.until) && run.until.Before(end)
		if outlasted || !now.Before(end) {
			t.endLocked(run)
			t.mu.Unlock()
			return outlasted
		}
		t.mu.Unlock()
	}
}

func (t *Target) endLocked(run *run) {
	delete(t.running, run)
	close(run.ended)
	if run.long {
		t.longRunning--
	}
	if t.opts.Observer != nil {
		t.opts.Observer.Ended(t.opts.ID, run.id, run.key)
	}
}
