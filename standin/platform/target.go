package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// TargetOptions of a Target.
type TargetOptions struct {
	ID      string
	Service string
	// Keyed targets run only requests for keys that they were granted.
	Keyed bool
	// Slots is the number of requests that run at once, Queue of those that wait.
	Slots, Queue int
	// Work is the time of a request.
	Work time.Duration
	// Observer is told what happens at the target; nil for none.
	Observer Observer
}

// Observer sees what happens at a target. Its methods are called with the target
// locked and must not call it.
type Observer interface {
	// Ran tells that a request has begun to run.
	Ran(target, id string, key uint16)
	// Granted tells that a grant was taken.
	Granted(target string, from, to uint16, fence uint64, until time.Time)
	// Released tells that a release was taken.
	Released(target string, from, to uint16)
}

// Target is a server of the platform. It is an http.Handler.
type Target struct {
	opts  TargetOptions
	slots chan struct{}

	mu      sync.Mutex
	waiting int
	grants  []holding
	runs    map[string]int
	silent  bool
	// lose breaks the connection after the run in place of the answer.
	lose bool
}

// holding is a granted range of keys.
type holding struct {
	from, to uint16
	fence    uint64
	until    time.Time
}

// NewTarget returns a Target that holds no keys.
func NewTarget(opts TargetOptions) *Target {
	return &Target{opts: opts, slots: make(chan struct{}, opts.Slots), runs: map[string]int{}}
}

// Runs returns how often the request of the id was run.
func (t *Target) Runs(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

// TotalRuns returns how many requests were run.
func (t *Target) TotalRuns() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := 0
	for _, n := range t.runs {
		total += n
	}
	return total
}

// SetSilent lets calls hang without an answer.
func (t *Target) SetHang(silent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = silent
}

// SetLoseAnswers lets the target run requests and break the connection.
func (t *Target) SetLoseAnswers(lose bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lose = lose
}

// Holds reports whether the target holds the key.
func (t *Target) Holds(key uint16) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holdsLocked(key)
}

func (t *Target) holdsLocked(key uint16) bool {
	for _, h := range t.grants {
		if h.from <= key && key <= h.to && time.Now().Before(h.until) {
			return true
		}
	}
	return false
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	silent := t.silent
	t.mu.Unlock()
	if silent {
		// Only once the body is read does the server see that the caller has left.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	switch r.URL.Path {
	case "/grant", "/release":
		t.order(w, r)
	default:
		t.serve(w, r)
	}
}

func (t *Target) order(w http.ResponseWriter, r *http.Request) {
	var body struct {
		From     uint16 `json:"from"`
		Target   uint16 `json:"target"`
		Fence    uint64 `json:"fence"`
		HoldTime string `json:"hold_time"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.URL.Path == "/release" {
		t.cutLocked(body.From, body.Target, body.Fence)
		if t.opts.Observer != nil {
			t.opts.Observer.Released(t.opts.ID, body.From, body.Target)
		}
		w.Header().Set("Handover", fmt.Sprintf("%s-%d", t.opts.ID, body.Fence))
		return
	}
	hold, err := time.ParseDuration(body.HoldTime)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, h := range t.grants {
		if h.from <= body.Target && body.From <= h.to && h.fence > body.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	t.cutLocked(body.From, body.Target, body.Fence)
	until := time.Now().Add(hold)
	t.grants = append(t.grants, holding{body.From, body.Target, body.Fence, until})
	if t.opts.Observer != nil {
		t.opts.Observer.Granted(t.opts.ID, body.From, body.Target, body.Fence, until)
	}
}

// cutLocked ends the holding of the keys and remembers the fencing token for them.
func (t *Target) cutLocked(from, to uint16, fence uint64) {
	var kept []holding
	for _, h := range t.grants {
		if h.to < from || to < h.from {
			kept = append(kept, h)
			continue
		}
		if h.from < from {
			kept = append(kept, holding{h.from, from - 1, h.fence, h.until})
		}
		if h.to > to {
			kept = append(kept, holding{to + 1, h.to, h.fence, h.until})
		}
	}
	t.grants = append(kept, holding{from, to, fence, time.Time{}})
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Target-Instance"); expected != "" && expected != t.opts.ID {
		w.Header().Set("Instance-Id", t.opts.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || !t.enter(w, r) {
		return
	}
	defer func() { <-t.slots }()
	key, err := strconv.ParseUint(r.Header.Get("Shard-Key"), 10, 16)
	if t.opts.Keyed && (err != nil || !t.Holds(uint16(key))) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.mu.Lock()
	t.runs[id]++
	if t.opts.Observer != nil {
		t.opts.Observer.Ran(t.opts.ID, id, uint16(key))
	}
	lose := t.lose
	t.mu.Unlock()
	time.Sleep(t.opts.Work)
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Server-Seal", t.opts.ID)
	w.Header().Set("Instance-Load", t.load())
	fmt.Fprintf(w, "%s %s %s", t.opts.ID, r.URL.RequestURI(), body)
}

// enter waits for a slot, or refuses if the queue is full.
func (t *Target) enter(w http.ResponseWriter, r *http.Request) bool {
	t.mu.Lock()
	full := t.waiting >= t.opts.Slots+t.opts.Queue
	if !full {
		t.waiting++
	}
	t.mu.Unlock()
	if full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	defer func() {
		t.mu.Lock()
		t.waiting--
		t.mu.Unlock()
	}()
	select {
	case t.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (t *Target) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(t.slots), t.waiting, t.opts.Slots)
}

// Entry returns the target's entry in the store.
func (t *Target) Entry(address, dataCentre, state string, born int64) map[string]any {
	return map[string]any{
		"address": address, "born": born,
		"info":   map[string]any{"service": t.opts.Service, "version": "v1", "zone": dataCentre, "slots": t.opts.Slots},
		"status": map[string]any{"state": state, "sequence": 1, "warmup_left": "0ms"},
	}
}
