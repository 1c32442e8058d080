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
	duration   time.Duration
	candidates []ownership.VMID
	sentAt     map[ownership.VMID]time.Duration
	sortBuffer []time.Duration
}

// NewSupport returns an empty Support for promises of the given duration.
func NewSupport(supportTime time.Duration, margin float64, candidates []ownership.VMID) *Support {
	return &Support{
		duration:   Shrink(supportTime, margin),
		candidates: slices.Clone(candidates),
		sentAt:     make(map[ownership.VMID]time.Duration),
	}
}

// Granted takes in a promise that answers a request sent at sentAt. A promise
// of a VM that is no candidate has no effect.
func (s *Support) AddPromise(from ownership.VMID, sentAt time.Duration) {
	if !slices.Contains(s.candidates, from) {
		return
	}
	if old, ok := s.sentAt[from]; !ok || sentAt > old {
		s.sentAt[from] = sentAt
	}
}

// SetCandidates replaces the candidate list and keeps the promises of those that stay.
func (s *Support) SetCandidates(candidates []ownership.VMID) {
	s.candidates = slices.Clone(candidates)
	for vm := range s.sentAt {
		if !slices.Contains(candidates, vm) {
			delete(s.sentAt, vm)
		}
	}
}

// Since returns the latest instant such that a majority of the candidates
// promised support in answer to requests sent then or later, or Never.
func (s *Support) Since() time.Duration {
	need := len(s.candidates)/2 + 1
	if len(s.sentAt) < need {
		return DistantPast
	}
	s.sortBuffer = s.sortBuffer[:0]
	for _, at := range s.sentAt {
		s.sortBuffer = append(s.sortBuffer, at)
	}
	slices.Sort(s.sortBuffer)
	return s.sortBuffer[len(s.sortBuffer)-need]
}

// Until returns the end of the majority support, or Never.
func (s *Support) Until() time.Duration {
	since := s.Since()
	if since == DistantPast {
		return DistantPast
	}
	return since + s.duration
}

// Held reports whether a majority supports the candidate at now.
func (s *Support) Held(now time.Duration) bool { return now < s.Until() }
