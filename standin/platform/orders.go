package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// order is the body of a grant or a release. The range of keys includes both From and Target.
type order struct {
	From     uint16 `json:"from"`
	Target   uint16 `json:"target"`
	Fence    uint64 `json:"fence"`
	HoldTime string `json:"hold_time"`
}

// hold is a range of keys, both ends included, that was granted until an instant.
type hold struct {
	from, to uint16
	until    time.Time
}

// seenFence is a fencing token that was seen for a range of keys, both ends included.
type seenFence struct {
	from, to uint16
	fence    uint64
}

// heldUntilLocked returns the end of the last hold on the key; zero if there is none.
func (t *Target) heldUntilLocked(key uint16) time.Time {
	var until time.Time
	for _, h := range t.holds {
		if h.from <= key && key <= h.to && h.until.After(until) {
			until = h.until
		}
	}
	return until
}

// changeRange applies a grant or a release.
func (t *Target) changeRange(w http.ResponseWriter, r *http.Request) {
	var body order
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/release" {
		t.release(w, r, body)
		return
	}
	t.grant(w, body)
}

// grant applies a grant. It refuses one whose fencing token is below one that was already seen for any of the keys. No page
// says that a grant ends an earlier one, so that their holds run side by side.
func (t *Target) grant(w http.ResponseWriter, body order) {
	length, err := time.ParseDuration(body.HoldTime)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.seen {
		if s.from <= body.Target && body.From <= s.to && s.fence > body.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	t.noteFenceLocked(body)
	now := time.Now()
	until := now.Add(length)
	t.holds = slices.DeleteFunc(t.holds, func(h hold) bool { return !now.Before(h.until) })
	t.holds = append(t.holds, hold{body.From, body.Target, until})
	for run := range t.running {
		if body.From <= run.key && run.key <= body.Target && until.After(run.until) {
			run.until = until
		}
	}
	if t.opts.Observer != nil {
		t.opts.Observer.Granted(t.opts.ID, body.From, body.Target, body.Fence, until)
	}
}

// release ends all holds of the keys at once, and answers when the requests that run on them have ended. It is never refused.
func (t *Target) release(w http.ResponseWriter, r *http.Request, body order) {
	t.mu.Lock()
	t.noteFenceLocked(body)
	t.endHoldsLocked(body.From, body.Target)
	if t.opts.Observer != nil {
		t.opts.Observer.Released(t.opts.ID, body.From, body.Target)
	}
	var ends []chan struct{}
	for run := range t.running {
		if body.From <= run.key && run.key <= body.Target {
			ends = append(ends, run.ended)
		}
	}
	t.mu.Unlock()
	for _, ended := range ends {
		select {
		case <-ended:
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set("Handover", fmt.Sprintf("%s-%d", t.opts.ID, body.Fence))
}

// noteFenceLocked records the order's fencing token, and forgets those that it makes superfluous.
func (t *Target) noteFenceLocked(body order) {
	t.seen = slices.DeleteFunc(t.seen, func(s seenFence) bool {
		return body.From <= s.from && s.to <= body.Target && s.fence <= body.Fence
	})
	t.seen = append(t.seen, seenFence{body.From, body.Target, body.Fence})
}

// endHoldsLocked ends the holds of the keys.
func (t *Target) endHoldsLocked(from, to uint16) {
	var kept []hold
	for _, h := range t.holds {
		if h.to < from || to < h.from {
			kept = append(kept, h)
			continue
		}
		if h.from < from {
			kept = append(kept, hold{h.from, from - 1, h.until})
		}
		if h.to > to {
			kept = append(kept, hold{to + 1, h.to, h.until})
		}
	}
	t.holds = kept
}
