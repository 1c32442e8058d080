package lease

import (
	"time"

	"github.com/basiltally/basiltally/ownership"
)

// Supporter promises support on behalf of one VM, for all groups. A promise lasts
// from the reply on, counted on the Supporter's own clock. A Supporter is not safe
// for concurrent use.
//
// Promises are lost when the process restarts. A new process therefore promises
// nothing until one full support time has passed.
type Supporter struct {
	supportTime time.Duration
	readyAt     time.Duration
	groups      map[ownership.GroupID]*promise
}

// promise is the state of a Supporter for one group: the promise given last and the
// highest term, round and candidate list version known.
type promise struct {
	holder            ownership.VMID
	incarnation       uint64
	until             time.Duration
	successor         ownership.VMID
	term              uint64
	round             uint32
	candidatesVersion uint64
}

// NewSupporter returns a Supporter for a process that started at the clock reading
// start. Each promise lasts supportTime.
func NewSupporter(start, supportTime time.Duration) *Supporter {
	return &Supporter{
		supportTime: supportTime,
		readyAt:     start + supportTime,
		groups:      make(map[ownership.GroupID]*promise),
	}
}

// UpdateKnown raises the highest known term and candidate list version of a group to those
// of a record that this VM read, wrote or received from a peer. Requests do not raise
// the list version, because a supporter that refuses an older list must be on a VM
// that holds the newer one.
func (s *Supporter) UpdateKnown(group ownership.GroupID, term, candidatesVersion uint64) {
	p := s.group(group)
	p.raise(term, 0)
	p.candidatesVersion = max(p.candidatesVersion, candidatesVersion)
}

// Answer handles a request at the clock reading now and returns the reply.
func (s *Supporter) Answer(now time.Duration, req SupportRequest) SupportReply {
	p := s.group(req.Group)
	if req.Release {
		p.release(req)
		return p.reply(now, req.Group, false)
	}
	if now < s.readyAt || !p.allows(now, req) {
		return p.reply(now, req.Group, false)
	}
	if !req.Query {
		p.grant(now+s.promiseTime(req), req)
	}
	return p.reply(now, req.Group, true)
}

func (s *Supporter) promiseTime(req SupportRequest) time.Duration {
	if req.Trial {
		return TrialTime(s.supportTime)
	}
	return s.supportTime
}

func (s *Supporter) group(id ownership.GroupID) *promise {
	p, ok := s.groups[id]
	if !ok {
		p = &promise{}
		s.groups[id] = p
	}
	return p
}

func (p *promise) allows(now time.Duration, req SupportRequest) bool {
	if req.CandidatesVersion < p.candidatesVersion {
		return false
	}
	if now >= p.until {
		return true
	}
	if p.successor != "" {
		return p.successor == req.From
	}
	return p.holder == req.From && p.incarnation == req.Incarnation
}

func (p *promise) grant(until time.Duration, req SupportRequest) {
	p.holder = req.From
	p.incarnation = req.Incarnation
	p.successor = ""
	p.until = max(p.until, until)
	p.raise(req.Term, req.Round)
}

// release transfers the rest of the promise to the successor. A request from a process
// that does not hold the promise has no effect.
func (p *promise) release(req SupportRequest) {
	if p.holder == req.From && p.incarnation == req.Incarnation {
		p.successor = req.Successor
	}
}

func (p *promise) raise(term uint64, round uint32) {
	if term > p.term {
		p.term, p.round = term, round
		return
	}
	if term == p.term {
		p.round = max(p.round, round)
	}
}

func (p *promise) reply(now time.Duration, group ownership.GroupID, granted bool) SupportReply {
	r := SupportReply{
		Group:             group,
		Granted:           granted,
		Term:              p.term,
		Round:             p.round,
		CandidatesVersion: p.candidatesVersion,
	}
	if now < p.until {
		r.Supported = p.holder
		if p.successor != "" {
			r.Supported = p.successor
		}
		r.Remaining = p.until - now
	}
	return r
}
