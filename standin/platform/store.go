// Package platform is a small fake of the users' platform for tests and first runs: its
// object store, and targets that own keys exclusively. It uses the platform's protocol
// and simulates faults on demand.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the number of objects on a page of a list. It is small so that tests
// cover several pages.
const pageItems = 50

// Metadata describes an object.
type Metadata struct {
	Name       string   `json:"name"`
	Rev        uint64   `json:"rev"`
	CreatedAt  int64    `json:"created_at"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// Object is an object of the store.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// event is a change of an object. A tombstone holds the object before its deletion.
type event struct {
	Tombstone bool   `json:"tombstone"`
	Object    Object `json:"object"`
	kind      string
	rev       uint64
}

// Fault is a fault of the store that applies to all calls.
type Fault int

const (
	// NoFault answers calls as usual.
	NoFault Fault = iota
	// Unavailable answers 503 and does not carry out the call.
	Unavailable
	// Hang does not answer. When the fault changes, it breaks the connection.
	Hang
	// Swallow does not answer the calls that arrive or wait while it is in force, also later, and leaves their
	// connections open.
	Swallow
	// Reset breaks the connection and does not carry out the call.
	Reset
	// LoseAnswers carries out writes, but breaks the connection instead of answering them.
	LoseAnswers
)

// String returns the name of the fault.
func (f Fault) String() string {
	return [...]string{"no fault", "unavailable", "hang", "swallow", "reset", "lose answers"}[f]
}

// Store is a fake of the platform's object store. It is an http.Handler.
type Store struct {
	mu  sync.Mutex
	rev uint64
	// objects holds the objects by kind and name.
	objects map[string]map[string]Object
	events  []event
	// compacted is the revision up to which the events were dropped.
	compacted uint64
	// changed is closed and replaced when the waiting polls must look again.
	changed chan struct{}
	// era is the number of steps back so far, plus one.
	era uint64
	// outside holds the kinds that Put and Delete have written. They belong to the operator and the targets.
	outside map[string]bool
	// rewrites holds the objects that are to be written again after a step back.
	rewrites map[objectKey]rewrite
	fault    Fault
	// faultChanged is closed and replaced when the fault changes.
	faultChanged chan struct{}
	calls        int
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{
		rev: 1, era: 1, objects: map[string]map[string]Object{}, outside: map[string]bool{}, rewrites: map[objectKey]rewrite{},
		changed: make(chan struct{}), faultChanged: make(chan struct{}),
	}
}

// SetFault replaces the fault in force.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	close(s.faultChanged)
	s.faultChanged = make(chan struct{})
	s.wakePollsLocked()
}

// Compact drops all events. Polls after an earlier revision are then answered with 410,
// including those that are waiting.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.compacted = nil, s.rev
	s.wakePollsLocked()
}

// Calls returns the number of HTTP calls so far, failed ones included.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Revision returns the revision of an object, or zero if it does not exist.
func (s *Store) Revision(kind, name string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name].Metadata.Rev
}

// Spec returns the content of an object, or nil if it does not exist.
func (s *Store) Spec(kind, name string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name].Spec
}

// Put writes an object regardless of its revision, as operators and targets do. It panics
// if spec cannot be encoded as JSON.
func (s *Store) Put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // The caller passed a value that JSON cannot represent.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteOutsideLocked(kind, name)
	s.writeLocked(kind, name, data)
}

// Delete removes an object, if it exists, as operators and targets do.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteOutsideLocked(kind, name)
	s.deleteLocked(kind, name)
}

// writeLocked writes an object and returns it. If the spec stays the same, the revision
// stays too.
func (s *Store) writeLocked(kind, name string, spec json.RawMessage) Object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]Object{}
	}
	old, exists := s.objects[kind][name]
	if exists && string(old.Spec) == string(spec) {
		return old
	}
	s.rev++
	o := Object{Metadata: Metadata{Name: name, Rev: s.rev, CreatedAt: old.Metadata.CreatedAt}, Spec: spec}
	if !exists {
		o.Metadata.CreatedAt = time.Now().UnixMilli()
	}
	s.objects[kind][name] = o
	s.events = append(s.events, event{Object: o, kind: kind, rev: s.rev})
	s.wakePollsLocked()
	return o
}

func (s *Store) deleteLocked(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.rev++
	s.events = append(s.events, event{Tombstone: true, Object: o, kind: kind, rev: s.rev})
	s.wakePollsLocked()
}

// wakePollsLocked makes the waiting polls look for events and faults again.
func (s *Store) wakePollsLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.stateEraLocked(w)
	s.mu.Unlock()
	if !s.admit(w, r) {
		return
	}
	path, ok := strings.CutPrefix(r.URL.Path, "/objects/")
	kind, name, named := strings.Cut(path, "/")
	switch {
	case !ok || kind == "":
		reply(w, http.StatusNotFound, nil)
	case r.Method == http.MethodGet && !named && r.URL.Query().Has("watch"):
		s.poll(w, r, kind)
	case r.Method == http.MethodGet && !named:
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.write(w, r, kind, name)
	}
}

// admit counts the call and applies the fault in force. It returns false if it has answered
// the call, and panics with http.ErrAbortHandler to break the connection.
func (s *Store) admit(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	s.calls++
	fault, changed := s.fault, s.faultChanged
	s.mu.Unlock()
	switch fault {
	case Unavailable:
		reply(w, http.StatusServiceUnavailable, nil)
		return false
	case Reset:
		panic(http.ErrAbortHandler)
	case Hang:
		select {
		case <-changed:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	case Swallow:
		// The end of the connection is noticed only once the body has been read. An error means that it has ended.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	return true
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.stateEraLocked(w)
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, nil)
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	var items []Object
	for name, o := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	rev := s.rev
	s.stateEraLocked(w)
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "at_rev": rev})
}

// poll answers with the events of a kind after a revision, and waits up to wait_ms
// milliseconds for the first one. A step back cuts the polls that wait from a revision that the copy has.
func (s *Store) poll(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	begun := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		s.stateEraLocked(w)
		gone, fault, changed, rev, era := after < s.compacted || after > s.rev, s.fault, s.changed, s.rev, s.era
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.rev > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if fault == Swallow {
			<-r.Context().Done()
		}
		if fault != NoFault && fault != LoseAnswers {
			panic(http.ErrAbortHandler)
		}
		if gone {
			reply(w, http.StatusGone, nil)
			return
		}
		if era != begun {
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at_rev": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "at_rev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body Object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			reply(w, http.StatusBadRequest, nil)
			return
		}
	}
	s.mu.Lock()
	status, o := s.conditionalWriteLocked(r, kind, name, body)
	s.stateEraLocked(w)
	loseAnswer := s.fault == LoseAnswers
	s.mu.Unlock()
	if loseAnswer {
		panic(http.ErrAbortHandler)
	}
	reply(w, status, o)
}

// conditionalWriteLocked carries out a write if the expected revision matches, and returns
// the status and the body of the answer. A POST creates an object that does not exist yet.
func (s *Store) conditionalWriteLocked(r *http.Request, kind, name string, body Object) (int, any) {
	if r.Method == http.MethodPost {
		if o, exists := s.objects[kind][body.Metadata.Name]; exists {
			return http.StatusConflict, o
		}
		return http.StatusOK, s.writeLocked(kind, body.Metadata.Name, body.Spec)
	}
	o, exists := s.objects[kind][name]
	if !exists {
		return http.StatusNotFound, nil
	}
	expected := body.Metadata.Rev
	if text := r.URL.Query().Get("rev"); text != "" {
		expected, _ = strconv.ParseUint(text, 10, 64) // Without a valid number, no revision is expected.
	}
	if expected != 0 && expected != o.Metadata.Rev {
		return http.StatusConflict, o
	}
	if r.Method == http.MethodDelete {
		s.deleteLocked(kind, name)
		return http.StatusOK, o
	}
	return http.StatusOK, s.writeLocked(kind, name, body.Spec)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}
