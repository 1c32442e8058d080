package platform

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// TargetOptions configures a Target.
type TargetOptions struct {
	ID      string
	Service string
	// Keyed makes the target run only requests for keys that it was granted.
	Keyed bool
	// Slots is the number of requests that run at once. Queue is the number of requests
	// that may wait for a slot.
	Slots, Queue int
	// Work is how long each request runs.
	Work time.Duration
	// FullResets makes the target reset the connection of a request for which it has no room,
	// instead of answering 503.
	FullResets bool
	// Observer is notified of what happens at the target. It may be nil.
	Observer Observer
	// Reached is called for each request that the target does not refuse with 421, with the instant of
	// its arrival. While the target is cold, cold is the highest number of requests in a second around
	// that instant. It is called while the target is locked and must not call the target. It may be nil.
	Reached func(r *http.Request, arrived time.Time, cold int)
}

// Observer is notified of what happens at a target. Its methods are called while the
// target is locked and must not call the target.
type Observer interface {
	// Ran reports that a request has begun to run.
	Ran(target, id string, key uint16)
	// Ended reports that a request that had begun to run has ended, before it is answered.
	Ended(target, id string, key uint16)
	// Arrived reports that a request has arrived at the target that it is for.
	Arrived(target, id string)
	// Answered reports that the target is about to answer a request, and whether it refuses it.
	Answered(target, id string, refused bool)
	// Granted reports that the target accepted a grant of the keys from to to, inclusive.
	Granted(target string, from, to uint16, fence uint64, until time.Time)
	// Released reports that the target accepted a release of the keys from to to, inclusive. Requests that
	// have begun may still run.
	Released(target string, from, to uint16)
}

// Target is a fake of a target of the platform. It is an http.Handler.
type Target struct {
	opts  TargetOptions
	slots chan struct{}

	mu sync.Mutex
	// waiting is the number of requests that wait for a slot.
	waiting int
	// holds are what grants have given and no release has ended. Each lasts until its own end.
	holds []hold
	// seen are the fencing tokens with which ranges of keys were granted or released.
	seen []seenFence
	// runs counts the runs of each request, by request id.
	runs map[string]int
	// running has the requests that run.
	running map[*run]struct{}
	// stopped is closed by stop, once.
	stopped chan struct{}
	stop    sync.Once
	// hang leaves all calls without an answer.
	hang bool
	// loseAnswers breaks the connection after a request has run, instead of answering it.
	loseAnswers bool
	// statements are header lines that all answers to requests have.
	statements map[string]string
	// refuse makes the target refuse all requests as if its queue were full.
	refuse bool
	// The target is cold from coldFrom to coldUntil. coldArrivals are the instants of the requests that it
	// got in this time, in ascending order.
	coldFrom, coldUntil time.Time
	coldArrivals        []time.Time
	// Every longEvery-th request runs for longWork; zero for none. longBegun counts the requests meanwhile, and longRunning
	// those that run for longWork now.
	longEvery, longBegun, longRunning int
	longWork                          time.Duration
	// extraAnswers decides on second answers to orders; nil for none.
	extraAnswers func() (pause time.Duration, extra bool)
	// readPause is the pause before each piece of a request's body is read.
	readPause time.Duration
}

// NewTarget returns a Target that holds no keys.
func NewTarget(opts TargetOptions) *Target {
	return &Target{opts: opts, slots: make(chan struct{}, opts.Slots), runs: map[string]int{}, running: map[*run]struct{}{}, stopped: make(chan struct{})}
}

// Stop ends all requests that run, as the end of the target's process does. The caller closes the target's server.
func (t *Target) Stop() { t.stop.Do(func() { close(t.stopped) }) }

// Runs returns how often the request with the id has run.
func (t *Target) Runs(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

// TotalRuns returns the number of runs of all requests.
func (t *Target) TotalRuns() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := 0
	for _, n := range t.runs {
		total += n
	}
	return total
}

// SetStatements sets the header lines that all answers to requests have, with which a target states
// that it leaves, names a limit or asks for a pause.
func (t *Target) SetStatements(lines map[string]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statements = lines
}

// SetRefuse sets whether the target refuses all requests as if its queue were full.
func (t *Target) SetRefuse(refuse bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refuse = refuse
}

// SetCold makes the target cold for the time, which its entry states from then on.
func (t *Target) SetCold(length time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldFrom, t.coldArrivals = time.Now(), nil
	t.coldUntil = t.coldFrom.Add(length)
}

// Cold reports whether the target is cold, or has been within the last two seconds.
func (t *Target) Cold() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.coldUntil) < 2*time.Second
}

// SetReadPause sets the pause before each piece of a request's body is read.
func (t *Target) SetReadPause(pause time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readPause = pause
}

// reached notifies Reached of a request that arrived at the instant.
func (t *Target) reached(r *http.Request, arrived time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reachedLocked(r, arrived)
}

func (t *Target) reachedLocked(r *http.Request, arrived time.Time) {
	cold := 0
	if !arrived.Before(t.coldFrom) && arrived.Before(t.coldUntil) {
		t.coldArrivals = append(t.coldArrivals, arrived)
		slices.SortFunc(t.coldArrivals, time.Time.Compare)
		first := 0
		for last, at := range t.coldArrivals {
			for at.Sub(t.coldArrivals[first]) >= time.Second {
				first++
			}
			if !t.coldArrivals[first].After(arrived) && !at.Before(arrived) {
				cold = max(cold, last-first+1)
			}
		}
	}
	if t.opts.Reached != nil {
		t.opts.Reached(r, arrived, cold)
	}
}

// SetHang sets whether new calls hang without an answer until their caller gives up.
func (t *Target) SetHang(hang bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hang = hang
}

// SetLongWork makes every n-th request run for the time, but no more than half of the slots at once; zero ends it. Requests that
// have begun run on.
func (t *Target) SetLongWork(every int, work time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.longEvery, t.longWork, t.longBegun = every, work, 0
}

// SetLoseAnswers sets whether the target runs requests but breaks the connection instead of
// answering.
func (t *Target) SetLoseAnswers(loseAnswers bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loseAnswers = loseAnswers
}

// Holds reports whether the target holds the key now.
func (t *Target) Holds(key uint16) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().Before(t.heldUntilLocked(key))
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	hang := t.hang
	t.mu.Unlock()
	if hang {
		// net/http detects that the caller has closed the connection only after the body was
		// read.
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-r.Context().Done():
		case <-t.stopped: // The context does not end if the caller has sent more on the connection.
		}
		return
	}
	switch r.URL.Path {
	case "/grant", "/release":
		t.changeRange(w, r)
	default:
		t.runRequest(w, r)
	}
}

// runRequest runs a request, or refuses it if it is meant for another target, the queue is
// full or the target does not hold its key.
func (t *Target) runRequest(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	t.mu.Lock()
	for name, value := range t.statements {
		w.Header().Set(name, value)
	}
	t.mu.Unlock()
	if expected := r.Header.Get("Target-Instance"); expected != "" && expected != t.opts.ID {
		w.Header().Set("Instance-Id", t.opts.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.mu.Lock()
	refuse, readPause := t.refuse, t.readPause
	if t.opts.Observer != nil {
		t.opts.Observer.Arrived(t.opts.ID, id)
	}
	t.mu.Unlock()
	body, err := io.ReadAll(pausingReader{r.Body, readPause})
	if err != nil {
		return
	}
	if refuse {
		t.reached(r, arrived)
		t.answer(id, true)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !t.acquireSlot(w, r, arrived) {
		return
	}
	defer func() { <-t.slots }()
	key, err := strconv.ParseUint(r.Header.Get("Shard-Key"), 10, 16)
	var run *run
	if err == nil || !t.opts.Keyed {
		run = t.begin(r, id, uint16(key), arrived)
	}
	if run == nil {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	outlasted := t.finish(run)
	if run.loseAnswer {
		panic(http.ErrAbortHandler)
	}
	t.answer(id, false)
	w.Header().Set("Server-Seal", t.opts.ID)
	w.Header().Set("Instance-Load", t.load())
	if outlasted {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// Callers ask for long answers by the query parameter pad.
	pad, _ := strconv.Atoi(r.URL.Query().Get("pad"))
	fmt.Fprintf(w, "%s%s %s %s", t.opts.ID, strings.Repeat(".", min(max(pad, 0), maxPad)), r.URL.RequestURI(), body)
}

// maxPad bounds the length of answers, in bytes.
const maxPad = 1 << 20

// pausingReader reads in small pieces, with a pause before each.
type pausingReader struct {
	from  io.Reader
	pause time.Duration
}

func (p pausingReader) Read(b []byte) (int, error) {
	if p.pause == 0 {
		return p.from.Read(b)
	}
	time.Sleep(p.pause)
	return p.from.Read(b[:min(len(b), 4<<10)])
}

// answer notifies the observer of an answer.
func (t *Target) answer(id string, refused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.opts.Observer != nil {
		t.opts.Observer.Answered(t.opts.ID, id, refused)
	}
}

// acquireSlot waits for a slot and returns true if it has taken one. It refuses the request
// if the queue is full, and gives up when the caller closes the connection.
func (t *Target) acquireSlot(w http.ResponseWriter, r *http.Request, arrived time.Time) bool {
	t.mu.Lock()
	full := t.waiting >= t.opts.Slots+t.opts.Queue
	if !full {
		t.waiting++
	}
	t.mu.Unlock()
	if full {
		t.reached(r, arrived)
		if t.opts.FullResets {
			resetConn(w)
			return false
		}
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
	case <-t.stopped:
		return false
	}
}

// resetConn resets the connection of a request.
func resetConn(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if nc, _, err := h.Hijack(); err == nil {
			if tcp, ok := nc.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // An error means that the connection has already ended.
			}
			nc.Close()
			return
		}
	}
	panic(http.ErrAbortHandler)
}

// load returns the value of the Instance-Load header: the numbers of running requests, of
// waiting requests and of slots.
func (t *Target) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(t.slots), t.waiting, t.opts.Slots)
}

// Entry returns the spec of the target's object in the store. born identifies the start of
// the target.
func (t *Target) Entry(address, dataCentre, state string, born int64) map[string]any {
	t.mu.Lock()
	defer t.mu.Unlock()
	left := max(0, time.Until(t.coldUntil)).Milliseconds()
	return map[string]any{
		"address": address, "born": born,
		"info":   map[string]any{"service": t.opts.Service, "version": "v1", "zone": dataCentre, "slots": t.opts.Slots},
		"status": map[string]any{"state": state, "sequence": 1, "warmup_left": fmt.Sprintf("%dms", left)},
	}
}
