package lease

import (
	"slices"
	"time"

	"github.com/basiltally/basiltally/ownership"
)

// Never is a clock reading before every other one.
const DistantPast = time.Duration(-1 << 62)

// Support is what a candidate holds: the answers of the supporters to its
// requests. Each counts from the instant at which the request was sent, on the
// candidate's own clock, so that it ends before the supporter's promise.
type Support struct {
	lasts      time.Duration
	candidates []ownership.VMID
	sent       map[ownership.VMID]time.Duration
	scratch    []time.Duration
}

// NewSupport returns an empty Support for promises of the given duration.
func NewSupport(support time.Duration, margin float64, candidates []ownership.VMID) *Support {
	return &Support{
		lasts:      Shrink(support, margin),
		candidates: slices.Clone(candidates),
		sent:       make(map[ownership.VMID]time.Duration),
	}
}

// Granted takes in a promise that answers a request sent at sentAt. A promise
// of a VM that is no candidate has no effect.
func (s *Support) AddPromise(from ownership.VMID, sentAt time.Duration) {
	if !slices.Contains(s.candidates, from) {
		return
	}
	if old, ok := s.sent[from]; !ok || sentAt > old {
		s.sent[from] = sentAt
	}
}

// SetCandidates replaces the candidate list and keeps the promises of those that stay.
func (s *Support) SetCandidates(candidates []ownership.VMID) {
	s.candidates = slices.Clone(candidates)
	for vm := range s.sent {
		if !slices.Contains(candidates, vm) {
			delete(s.sent, vm)
		}
	}
}

// Since returns the latest instant such that a majority of the candidates
// promised support in answer to requests sent then or later, or Never.
func (s *Support) Since() time.Duration {
	need := len(s.candidates)/2 + 1
	if len(s.sent) < need {
		return DistantPast
	}
	s.scratch = s.scratch[:0]
	for _, at := range s.sent {
		s.scratch = append(s.scratch, at)
	}
	slices.Sort(s.scratch)
	return s.scratch[len(s.scratch)-need]
}

// Until returns the end of the majority support, or Never.
func (s *Support) Until() time.Duration {
	since := s.Since()
	if since == DistantPast {
		return DistantPast
	}
	return since + s.lasts
}

// Held reports whether a majority supports the candidate at now.
func (s *Support) Held(now time.Duration) bool { return now < s.Until() }
