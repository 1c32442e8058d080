package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
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

// changeRange applies a grant or a release and answers it.
func (t *Target) changeRange(w http.ResponseWriter, r *http.Request) {
	var body order
	status, handover := http.StatusBadRequest, ""
	if err := json.NewDecoder(r.Body).Decode(&body); err == nil {
		if r.URL.Path == "/release" {
			if !t.release(r, body) {
				return // The caller or the target has gone.
			}
			status, handover = http.StatusOK, fmt.Sprintf("%s-%d", t.opts.ID, body.Fence)
		} else {
			status = t.grant(body)
		}
	}
	header := http.Header{}
	if id := r.Header.Get("Attempt-Id"); id != "" {
		header.Set("Attempt-Id", id)
	}
	if handover != "" {
		header.Set("Handover", handover)
	}
	t.answerOrder(w, r, status, header)
}

// answerOrder answers an order, and sends the same answer again if that was drawn.
func (t *Target) answerOrder(w http.ResponseWriter, r *http.Request, status int, header http.Header) {
	header.Set("Content-Length", "0")
	maps.Copy(w.Header(), header)
	w.WriteHeader(status)
	nc, ok := r.Context().Value(connKey{}).(net.Conn)
	t.mu.Lock()
	draw := t.extraAnswers
	t.mu.Unlock()
	if !ok || draw == nil {
		return
	}
	pause, extra := draw()
	if !extra || http.NewResponseController(w).Flush() != nil {
		return
	}
	var answer bytes.Buffer
	fmt.Fprintf(&answer, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = header.Write(&answer) // A buffer takes all.
	answer.WriteString("\r\n")
	if pause == 0 {
		_, _ = nc.Write(answer.Bytes()) // It fails only if the connection has ended.
		return
	}
	time.AfterFunc(pause, func() { _, _ = nc.Write(answer.Bytes()) })
}

// SetExtraAnswers sets what decides whether the answer to an order is sent a second time on its connection, and how long
// after the first time. It is called for each answer, also concurrently; nil ends the extra answers. The server of the target
// needs ConnContext.
func (t *Target) SetExtraAnswers(draw func() (pause time.Duration, extra bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.extraAnswers = draw
}

// ConnContext is the ConnContext of the http.Server of a target that sends extra answers.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// grant applies a grant and returns the status of its answer. It refuses one whose fencing token is below one that was already
// seen for any of the keys. No page says that a grant ends an earlier one, so that their holds run side by side.
func (t *Target) grant(body order) int {
	length, err := time.ParseDuration(body.HoldTime)
	if err != nil {
		return http.StatusBadRequest
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.seen {
		if s.from <= body.Target && body.From <= s.to && s.fence > body.Fence {
			return http.StatusConflict
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
	return http.StatusOK
}

// release ends all holds of the keys at once, and returns true when the requests that run on them have ended, or false once its
// caller or the target has gone. It is never refused.
func (t *Target) release(r *http.Request, body order) bool {
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
			return false
		case <-t.stopped:
			return false
		}
	}
	return true
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
