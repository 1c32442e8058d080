package lease

import (
	"slices"
	"time"

	"github.com/basiltally/basiltally/ownership"
)

// DistantPast is earlier than every clock reading; it stands for an instant that
// has not occurred.
const DistantPast = time.Duration(-1 << 62)

// Support records the promises that a candidate has received from supporters. Each
// is counted on the candidate's clock from the instant at which the request was
// sent, so that it ends before the supporter's promise does.
type Support struct {
	duration   time.Duration
	candidates []ownership.VMID
	sentAt     map[ownership.VMID]time.Duration
	sortBuffer []time.Duration
}

// NewSupport returns an empty Support for promises that last supportTime at the
// supporter, of which the candidate relies on Shrink(supportTime, margin).
func NewSupport(supportTime time.Duration, margin float64, candidates []ownership.VMID) *Support {
	return &Support{
		duration:   Shrink(supportTime, margin),
		candidates: slices.Clone(candidates),
		sentAt:     make(map[ownership.VMID]time.Duration),
	}
}

// AddPromise records a promise given in reply to a request that was sent at sentAt.
// A promise from a VM that is not a candidate has no effect.
func (s *Support) AddPromise(from ownership.VMID, sentAt time.Duration) {
	if !slices.Contains(s.candidates, from) {
		return
	}
	if old, ok := s.sentAt[from]; !ok || sentAt > old {
		s.sentAt[from] = sentAt
	}
}

// SetCandidates replaces the candidate list. It keeps the promises of the VMs that are
// still in the list.
func (s *Support) SetCandidates(candidates []ownership.VMID) {
	s.candidates = slices.Clone(candidates)
	for vm := range s.sentAt {
		if !slices.Contains(candidates, vm) {
			delete(s.sentAt, vm)
		}
	}
}

// Since returns the latest instant such that a majority of the candidates promised
// support in reply to requests sent then or later. It returns DistantPast if fewer
// than a majority promised.
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

// Until returns the instant at which the majority support ends, or DistantPast
// without a majority.
func (s *Support) Until() time.Duration {
	since := s.Since()
	if since == DistantPast {
		return DistantPast
	}
	return since + s.duration
}

// Held reports whether a majority supports the candidate at the clock reading now.
func (s *Support) Held(now time.Duration) bool { return now < s.Until() }
