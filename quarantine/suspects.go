// Package quarantine detects requests that crash the targets which run them, and
// lists them on all VMs, so that they are refused for a time.
//
// A request is identified by its fingerprint. When a target crashes, all requests that were running there become
// suspects. A suspect of several crashes is quarantined, unless whole answers to it outweigh them or other suspects
// explain them. See docs/design/quarantine.md.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/basiltally/basiltally/pb"
)

// Fingerprint identifies the content of a request, as in package claim.
type Fingerprint [16]byte

// maxSuspects and maxCrashes (of one suspect) keep the shared record far below the largest value of
// the store.
const (
	maxSuspects = 1024
	maxCrashes  = 4
	// sameCrashWindow is the time within which two reports of crashes of one target, at
	// least one of them without an incarnation, count as one crash.
	sameCrashWindow = 5 * time.Second
	// certainCrashes is the number of crashes from which a suspect is no longer ambiguous, even if
	// another request ran during all of them.
	certainCrashes = 3
	// wholeRunsPerCrash is the number of whole answers that outweigh a crash: about as many requests run and wait at
	// a target, and are lost with it.
	wholeRunsPerCrash = 30
	// maxWholeRuns bounds what is counted of a suspect on one VM. It outweighs as many crashes as are kept.
	maxWholeRuns = wholeRunsPerCrash * maxCrashes
	// maxCountingVMs bounds the VMs whose counts of one suspect are kept.
	maxCountingVMs = 8
)

// crash is one crash of a target, at a time in Unix milliseconds.
type crash struct {
	target, incarnation uint64
	atMS                int64
}

// same reports whether c and o are reports of one crash.
func (c crash) same(o crash) bool {
	if c.target != o.target {
		return false
	}
	if c.incarnation != 0 && o.incarnation != 0 {
		return c.incarnation == o.incarnation
	}
	return max(c.atMS-o.atMS, o.atMS-c.atMS) <= sameCrashWindow.Milliseconds()
}

// suspect holds the distinct crashes during which a request ran, in order of time, and the time in
// Unix milliseconds up to which crashes are cleared.
type suspect struct {
	crashes   []crash
	clearedMS int64
	// wholeRuns is how often each VM has got a whole answer to the request, at most maxWholeRuns.
	wholeRuns map[uint64]uint32
	// listed is set once the request was quarantined, so that a clearing is passed on as well. It is not
	// part of the record.
	listed bool
}

func (s *suspect) add(c crash) (changed bool) {
	if c.atMS <= s.clearedMS || slices.ContainsFunc(s.crashes, c.same) {
		return false
	}
	s.crashes = append(s.crashes, c)
	slices.SortFunc(s.crashes, func(a, b crash) int { return cmp.Compare(a.atMS, b.atMS) })
	if len(s.crashes) > maxCrashes {
		s.crashes = s.crashes[1:]
	}
	return true
}

func (s *suspect) clear(atMS int64) (changed bool) {
	if atMS <= s.clearedMS {
		return false
	}
	s.clearedMS = atMS
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return c.atMS <= atMS })
	return true
}

// countWholeRuns raises the count of a VM to n, and reports whether that changed it.
func (s *suspect) countWholeRuns(vm uint64, n uint32) (changed bool) {
	if n = min(n, maxWholeRuns); n <= s.wholeRuns[vm] {
		return false
	}
	if s.wholeRuns == nil {
		s.wholeRuns = map[uint64]uint32{}
	}
	s.wholeRuns[vm] = n
	if len(s.wholeRuns) <= maxCountingVMs {
		return true
	}
	// The lowest count goes; of equal ones the one of the lowest VM, so that the order of merges is of no matter.
	lowest := vm
	for other, count := range s.wholeRuns {
		if low := s.wholeRuns[lowest]; count < low || count == low && other < lowest {
			lowest = other
		}
	}
	delete(s.wholeRuns, lowest)
	return lowest != vm
}

// allWholeRuns returns the number of whole answers to the request that are known.
func (s *suspect) allWholeRuns() int {
	total := 0
	for _, n := range s.wholeRuns {
		total += int(n)
	}
	return total
}

// lastMS returns the time of the latest crash or clearing, in Unix milliseconds.
func (s *suspect) lastMS() int64 {
	if n := len(s.crashes); n > 0 {
		return max(s.clearedMS, s.crashes[n-1].atMS)
	}
	return s.clearedMS
}

// suspectSet is the set of suspects. It has no other state and reads no clock; the result of merging
// sets does not depend on their order.
type suspectSet struct {
	byFingerprint map[Fingerprint]*suspect
}

func newSuspectSet() *suspectSet { return &suspectSet{byFingerprint: make(map[Fingerprint]*suspect)} }

func (set *suspectSet) getOrAdd(fp Fingerprint) *suspect {
	s := set.byFingerprint[fp]
	if s == nil {
		s = new(suspect)
		set.byFingerprint[fp] = s
	}
	return s
}

// merge adds the crashes and clearings of the record, and reports whether that changed the set.
func (set *suspectSet) merge(record *pb.Quarantine) (changed bool) {
	for _, m := range record.GetSuspects() {
		if len(m.Fingerprint) != len(Fingerprint{}) {
			continue
		}
		s := set.getOrAdd(Fingerprint(m.Fingerprint))
		if m.ClearedMs > 0 && s.clear(m.ClearedMs) {
			changed = true
		}
		for _, c := range m.Crashes {
			if s.add(crash{c.Target, c.Incarnation, c.AtMs}) {
				changed = true
			}
		}
		for _, r := range m.WholeRuns {
			if s.countWholeRuns(r.Vm, r.Count) {
				changed = true
			}
		}
	}
	return changed
}

// record returns the set as a message, in the order of fingerprints.
func (set *suspectSet) record() *pb.Quarantine {
	return set.recordOf(func(Fingerprint, *suspect) bool { return true })
}

// recordOf returns the suspects for which the function returns true as a message, in the order of
// fingerprints.
func (set *suspectSet) recordOf(which func(Fingerprint, *suspect) bool) *pb.Quarantine {
	out := new(pb.Quarantine)
	for fp, s := range set.byFingerprint {
		if !which(fp, s) {
			continue
		}
		m := &pb.QuarantineSuspect{Fingerprint: fp[:], ClearedMs: s.clearedMS}
		for _, c := range s.crashes {
			m.Crashes = append(m.Crashes, &pb.TargetCrash{Target: c.target, Incarnation: c.incarnation, AtMs: c.atMS})
		}
		for vm, n := range s.wholeRuns {
			m.WholeRuns = append(m.WholeRuns, &pb.WholeRuns{Vm: vm, Count: n})
		}
		slices.SortFunc(m.WholeRuns, func(a, b *pb.WholeRuns) int { return cmp.Compare(a.Vm, b.Vm) })
		out.Suspects = append(out.Suspects, m)
	}
	slices.SortFunc(out.Suspects, func(a, b *pb.QuarantineSuspect) int {
		return slices.Compare(a.Fingerprint, b.Fingerprint)
	})
	return out
}

// expire removes crashes and clearings older than the window. If there are more than maxSuspects, it removes those of
// the fewest crashes, the oldest first: many targets that are lost at once have many suspects.
func (set *suspectSet) expire(nowMS int64, window time.Duration) {
	for fp, s := range set.byFingerprint {
		s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return c.atMS < nowMS-window.Milliseconds() })
		if s.lastMS() < nowMS-window.Milliseconds() {
			delete(set.byFingerprint, fp)
		}
	}
	excess := len(set.byFingerprint) - maxSuspects
	if excess <= 0 {
		return
	}
	byAge := make([]Fingerprint, 0, len(set.byFingerprint))
	for fp := range set.byFingerprint {
		byAge = append(byAge, fp)
	}
	slices.SortFunc(byAge, func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(len(set.byFingerprint[a].crashes), len(set.byFingerprint[b].crashes)), cmp.Compare(set.byFingerprint[a].lastMS(), set.byFingerprint[b].lastMS()), slices.Compare(a[:], b[:]))
	})
	for _, fp := range byAge[:excess] {
		delete(set.byFingerprint, fp)
	}
}

// ListedRequest is a quarantined request as returned by Tracker.List.
type ListedRequest struct {
	Fingerprint Fingerprint
	// Crashes is the number of crashes during which the request ran.
	Crashes int
	// Ambiguous is set if another request ran during the same crashes, so that it is
	// uncertain which of them caused the crashes.
	Ambiguous bool
	Until     time.Time
}

// quarantined returns the requests that are quarantined at the time nowMS, in the order of
// fingerprints. A suspect of at least minCrashes is quarantined for the duration certain or ambiguous after its
// latest crash, unless whole answers outweigh the crashes or other suspects explain them.
func (set *suspectSet) quarantined(nowMS int64, minCrashes int, certain, ambiguous time.Duration) []ListedRequest {
	var list []ListedRequest
	for fp, s := range set.byFingerprint {
		if len(s.crashes) < minCrashes || s.allWholeRuns() >= wholeRunsPerCrash*len(s.crashes) || set.explained(fp, s, minCrashes) {
			continue
		}
		s.listed = true
		e := ListedRequest{Fingerprint: fp, Crashes: len(s.crashes)}
		e.Ambiguous = e.Crashes < certainCrashes && set.hasCoSuspect(fp, s)
		duration := certain
		if e.Ambiguous {
			duration = ambiguous
		}
		e.Until = time.UnixMilli(s.crashes[len(s.crashes)-1].atMS).Add(duration)
		if e.Until.UnixMilli() > nowMS {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b ListedRequest) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return list
}

// explained reports whether s ran whole, and each of its crashes has a suspect that is more likely to have caused
// it: one of at least minCrashes, with fewer whole answers for each of them.
func (set *suspectSet) explained(fp Fingerprint, s *suspect, minCrashes int) bool {
	runs := s.allWholeRuns()
	if runs == 0 {
		return false
	}
	likelier := make([]*suspect, 0, 4)
	for other, o := range set.byFingerprint {
		if other != fp && len(o.crashes) >= minCrashes && o.allWholeRuns()*len(s.crashes) < runs*len(o.crashes) {
			likelier = append(likelier, o)
		}
	}
	unexplained := func(c crash) bool {
		return !slices.ContainsFunc(likelier, func(o *suspect) bool { return slices.ContainsFunc(o.crashes, c.same) })
	}
	return !slices.ContainsFunc(s.crashes, unexplained)
}

// hasCoSuspect reports whether another suspect ran during all crashes of s.
func (set *suspectSet) hasCoSuspect(fp Fingerprint, s *suspect) bool {
	for other, o := range set.byFingerprint {
		if other == fp {
			continue
		}
		shared := func(c crash) bool { return slices.ContainsFunc(o.crashes, c.same) }
		if !slices.ContainsFunc(s.crashes, func(c crash) bool { return !shared(c) }) {
			return true
		}
	}
	return false
}
