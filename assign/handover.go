package assign

import (
	"time"

	"github.com/basiltally/basiltally/lease"
	"github.com/basiltally/basiltally/ownership"
)

// handoverRetryInterval is the time after which an unanswered handover is sent again, to
// the same successor the first time and then to the next one.
const handoverRetryInterval = 150 * time.Millisecond

// stopState is the state of a planned stop.
type stopState struct {
	stopping  bool
	handover  *Handover
	successor ownership.VMID
	tries     int
	retryAt   time.Duration
	deadline  time.Duration
}

// beginStop starts a planned stop. From then on this VM grants nothing, even if the
// handover fails.
func (c *Core) beginStop() {
	if c.stop.stopping {
		return
	}
	c.stop.stopping = true
	c.stop.deadline = c.now + c.opts.StopDeadline
	if c.phase != assigning || c.assigner.view == nil {
		c.stepDown()
		c.finishStop()
		return
	}
	c.phase = handingOver
	c.stop.handover = c.makeHandover()
	c.stop.retryAt = c.now
}

func (c *Core) makeHandover() *Handover {
	if c.assigner.viewChanged {
		c.assigner.view = c.assigner.buildView(c)
		c.known.observeView(c.assigner.view)
	}
	return &Handover{
		Group:     c.opts.Group,
		Record:    c.known.newest,
		Version:   c.known.version,
		View:      c.assigner.view,
		LeasesFor: max(c.assigner.lastLeaseEnd()-c.now, 0),
	}
}

func (c *Core) runHandover() {
	if c.now >= c.stop.deadline {
		c.stepDown()
		return
	}
	if c.now < c.stop.retryAt {
		return
	}
	c.stop.retryAt = c.now + handoverRetryInterval
	c.stop.successor = c.nextSuccessor()
	c.stop.tries++
	if c.stop.successor == "" {
		c.stepDown()
		return
	}
	h := *c.stop.handover
	h.LeasesFor = max(c.assigner.lastLeaseEnd()-c.now, 0)
	c.emit(SendHandover{To: c.stop.successor, Handover: &h})
}

// nextSuccessor returns the candidate to hand over to: each other candidate is tried twice
// in succession, in order of preference. It returns "" if there is no other candidate.
func (c *Core) nextSuccessor() ownership.VMID {
	var others []ownership.VMID
	for _, vm := range c.candidates() {
		if vm != c.opts.Self {
			others = append(others, vm)
		}
	}
	if len(others) == 0 {
		return ""
	}
	return others[c.stop.tries/2%len(others)]
}

// handoverAnswered releases the support in favour of the successor, which now knows the
// leases in force, and ends the stop.
func (c *Core) handoverAnswered(ev HandoverAnswered) {
	if c.phase != handingOver || ev.From != c.stop.successor {
		return
	}
	for _, vm := range c.candidates() {
		c.sendSupportRequest(vm, lease.SupportRequest{
			Term:      c.term,
			Round:     c.round,
			Release:   true,
			Successor: ev.From,
		})
	}
	c.assigner = nil
	c.finishStop()
}

// finishStop completes the planned stop. It answers the pending commands first.
func (c *Core) finishStop() {
	if c.phase == finished {
		return
	}
	c.phase = finished
	c.failCommands()
	c.emit(Stopped{})
}

// handoverReceived adopts the state of a stopping assigner and makes this VM its successor.
func (c *Core) handoverReceived(ev HandoverReceived) {
	h := ev.Handover
	if h == nil || h.View == nil || h.Record == nil || c.stop.stopping {
		return
	}
	if c.known.view != nil && h.View.Version().Less(c.known.view.Version()) {
		// The handover is out of date: another assigner has already published a newer view.
		return
	}
	if c.phase != following {
		// Another VM was assigner in the meantime, so this VM's support is out of date, even
		// if its own clock stood still and still shows the support as valid.
		c.stepDown()
	}
	c.known.observeRecord(h.Record)
	c.known.observeView(h.View)
	c.inherited = inheritedLeases{
		until:          max(c.inherited.until, c.now+lease.Stretch(h.LeasesFor, c.opts.RateMargin)),
		view:           h.View,
		successorUntil: c.now + handoverTimeout,
	}
	c.checkAt = c.now
	c.emit(AnswerHandover{To: ev.From})
}
