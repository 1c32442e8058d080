// Package quarantine finds requests that crash the targets which run them, and
// refuses them on all VMs for a time.
//
// A request is known by its fingerprint. When a target crashes, everything that
// was running there is a suspect. A suspect of two crashes is quarantined; one
// that runs whole afterwards is cleared. See docs/design/quarantine.md.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/basiltally/basiltally/pb"
)

// Fingerprint identifies the content of a request, as in package claim.
type Fingerprint [16]byte

// Limits of the shared record, which keep it far below the store's largest value.
const (
	maxSuspects = 1024
	maxCrashes  = 4
	// sameCrash is the time within which two reports without an incarnation that
	// name one target mean one crash.
	sameCrash = 5 * time.Second
	// certainCrashes is the number of crashes after which company is no excuse.
	certainCrashes = 3
)

// crash is one crash of a target.
type crash struct {
	target, incarnation uint64
	atMS                int64
}

// same reports whether two reports mean one crash.
func (c crash) same(o crash) bool {
	if c.target != o.target {
		return false
	}
	if c.incarnation != 0 && o.incarnation != 0 {
		return c.incarnation == o.incarnation
	}
	return max(c.atMS-o.atMS, o.atMS-c.atMS) <= sameCrash.Milliseconds()
}

// suspect holds distinct crashes in the order of time.
type suspect struct {
	crashes   []crash
	clearedMS int64
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

// lastMS is the time of the latest crash or clearing.
func (s *suspect) lastMS() int64 {
	if n := len(s.crashes); n > 0 {
		return max(s.clearedMS, s.crashes[n-1].atMS)
	}
	return s.clearedMS
}

// ledger is the set of suspects. It is pure; two ledgers merge in any order.
type ledger struct {
	suspects map[Fingerprint]*suspect
}

func newLedger() *ledger { return &ledger{suspects: make(map[Fingerprint]*suspect)} }

func (l *ledger) suspect(fp Fingerprint) *suspect {
	s := l.suspects[fp]
	if s == nil {
		s = new(suspect)
		l.suspects[fp] = s
	}
	return s
}

// merge takes over what the record knows, and reports whether that changed the ledger.
func (l *ledger) merge(record *pb.Quarantine) (changed bool) {
	for _, m := range record.GetSuspects() {
		if len(m.Fingerprint) != len(Fingerprint{}) {
			continue
		}
		s := l.suspect(Fingerprint(m.Fingerprint))
		if m.ClearedMs > 0 && s.clear(m.ClearedMs) {
			changed = true
		}
		for _, c := range m.Crashes {
			if s.add(crash{c.Target, c.Incarnation, c.AtMs}) {
				changed = true
			}
		}
	}
	return changed
}

// record returns the ledger as a message, in the order of fingerprints.
func (l *ledger) record() *pb.Quarantine {
	out := new(pb.Quarantine)
	for fp, s := range l.suspects {
		m := &pb.QuarantineSuspect{Fingerprint: fp[:], ClearedMs: s.clearedMS}
		for _, c := range s.crashes {
			m.Crashes = append(m.Crashes, &pb.TargetCrash{Target: c.target, Incarnation: c.incarnation, AtMs: c.atMS})
		}
		out.Suspects = append(out.Suspects, m)
	}
	slices.SortFunc(out.Suspects, func(a, b *pb.QuarantineSuspect) int {
		return slices.Compare(a.Fingerprint, b.Fingerprint)
	})
	return out
}

// expire forgets what is older than the window, and the oldest suspects over the limit.
func (l *ledger) expire(nowMS int64, window time.Duration) {
	for fp, s := range l.suspects {
		s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return c.atMS < nowMS-window.Milliseconds() })
		if s.lastMS() < nowMS-window.Milliseconds() {
			delete(l.suspects, fp)
		}
	}
	excess := len(l.suspects) - maxSuspects
	if excess <= 0 {
		return
	}
	byAge := make([]Fingerprint, 0, len(l.suspects))
	for fp := range l.suspects {
		byAge = append(byAge, fp)
	}
	slices.SortFunc(byAge, func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(l.suspects[a].lastMS(), l.suspects[b].lastMS()), slices.Compare(a[:], b[:]))
	})
	for _, fp := range byAge[:excess] {
		delete(l.suspects, fp)
	}
}

// Entry is a quarantined request.
type ListedRequest struct {
	Fingerprint Fingerprint
	// Crashes is the number of crashes during which the request ran.
	Crashes int
	// Ambiguous is set if another request ran during the same crashes, so that it
	// is not certain which of them is at fault.
	Ambiguous bool
	Until     time.Time
}

// blocked returns the quarantined requests at the time.
func (l *ledger) blocked(nowMS int64, certain, ambiguous time.Duration) []ListedRequest {
	var list []ListedRequest
	for fp, s := range l.suspects {
		if len(s.crashes) < 2 {
			continue
		}
		e := ListedRequest{Fingerprint: fp, Crashes: len(s.crashes)}
		e.Ambiguous = e.Crashes < certainCrashes && l.hasCompany(fp, s)
		hold := certain
		if e.Ambiguous {
			hold = ambiguous
		}
		e.Until = time.UnixMilli(s.crashes[len(s.crashes)-1].atMS).Add(hold)
		if e.Until.UnixMilli() > nowMS {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b ListedRequest) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return list
}

// hasCompany reports whether another suspect ran during all crashes of s.
func (l *ledger) hasCompany(fp Fingerprint, s *suspect) bool {
	for other, o := range l.suspects {
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
