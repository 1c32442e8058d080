package assign

import (
	"fmt"
	"slices"
	"time"

	"github.com/basiltally/basiltally/lease"
	"github.com/basiltally/basiltally/ownership"
)

// phase is the stage of a Core between following another assigner and being assigner.
type phase uint8

const (
	// following: another VM may be assigner; this one checks whether it can take over.
	following phase = iota
	// querying: finding out whether a majority would promise support.
	querying
	// gathering: collecting trial promises of support.
	gathering
	// takingOver: a majority has promised support; the record with the new term is being
	// read and written.
	takingOver
	// registering: collecting promises for the new term and round from a majority.
	registering
	// assigning: this VM is the group's assigner.
	assigning
	// handingOver: a stopping assigner that grants nothing more.
	handingOver
	// finished: the planned stop is complete.
	finished
)

// roundShift is the bit position of the round in Token.Seq.
const roundShift = 32

// roundStep is the distance between successive rounds of a term. The remainder of a round
// modulo roundStep is the candidate's index, so that no two candidates ever use the same
// round of a term.
const roundStep = 64

// farFuture is a clock reading that is never reached.
const farFuture = time.Duration(1<<63 - 1)

// Core is the state machine of one group on one VM. It is not safe for concurrent use.
type Core struct {
	opts    Options
	now     time.Duration
	actions []Action

	phase phase
	// phaseEnd is when a phase with a time limit ends.
	phaseEnd time.Duration
	// checkAt is when a following Core next checks whether it can take over.
	checkAt time.Duration
	// supportAt is when support is next requested.
	supportAt time.Duration
	// failures is the number of successive attempts that got no majority, up to maxFailures.
	failures int
	// wouldSupport holds the VMs whose reply to a query says that they would promise support.
	wouldSupport map[ownership.VMID]bool
	// support holds the trial promises.
	support *lease.Support
	// registered holds the promises for the present term and round.
	registered *lease.Support

	term  uint64
	round uint32
	// token is the highest token issued in the present term and round.
	token ownership.Token

	known           knownState
	store           storeState
	assigner        *assigner
	inherited       inheritedLeases
	targetList      []TargetInfo
	targetListKnown bool
	stop            stopState
	commands        []*command
	// candidatesVersion is the version of the candidate list in use.
	candidatesVersion uint64
	// reportedVersions holds the candidate list version that each supporter last reported.
	reportedVersions map[ownership.VMID]uint64
	hotKeys          hotKeys
	nonceCount       uint64
}

// New returns a Core of a process that has just started. The Core waits for one support
// time before it requests support.
func New(opts Options) *Core {
	c := &Core{opts: opts.withDefaults()}
	c.opts.Lease = min(c.opts.Lease, lease.Shrink(c.opts.Support, c.opts.RateMargin))
	c.known.newest = opts.Initial
	if opts.Initial != nil {
		c.candidatesVersion = opts.Initial.CandidatesVersion
	}
	c.reportedVersions = make(map[ownership.VMID]uint64)
	c.checkAt = lease.Stretch(c.opts.Support, c.opts.RateMargin) + c.stagger()
	c.store.retryAt = farFuture
	c.hotKeys.hotSince = make(map[ownership.KeyHash]time.Duration)
	c.hotKeys.coolSince = make(map[ownership.KeyHash]time.Duration)
	return c
}

// Step handles one event at the VM's monotonic clock reading now, counted from the start
// of the process, and returns the actions to execute.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	c.now = max(c.now, now)
	c.actions = nil
	c.checkSupport()
	c.dispatch(ev)
	c.runPhase()
	c.runStore()
	c.expireCommands()
	if c.phase == assigning {
		c.runAssigner()
	}
	return c.actions
}

func (c *Core) dispatch(ev Event) {
	switch ev := ev.(type) {
	case Tick:
	case RecordRead:
		c.recordRead(ev)
	case WriteDone:
		c.writeDone(ev)
	case RecordChanged:
		c.recordChanged(ev)
	case SupportAnswered:
		c.supportAnswered(ev)
	case TargetAnswered:
		c.targetAnswered(ev)
	case TargetFailed:
	case ProbeAnswered:
		c.probeAnswered(ev)
	case ViewReceived:
		c.viewReceived(ev.View)
	case HandoverReceived:
		c.handoverReceived(ev)
	case HandoverAnswered:
		c.handoverAnswered(ev)
	case CommandReceived:
		c.commandReceived(ev)
	case Stop:
		c.beginStop()
	case TargetsChanged:
		c.targetsChanged(ev)
	case KeyLoad:
		c.keyLoad(ev)
	}
}

// NextWake returns the clock reading at which a Tick is due if no event comes before.
func (c *Core) NextWake() time.Duration {
	wake := c.store.wake()
	for _, cmd := range c.commands {
		wake = min(wake, cmd.deadline)
	}
	switch c.phase {
	case following:
		return min(wake, c.checkAt)
	case querying:
		return min(wake, c.phaseEnd)
	case assigning:
		return min(wake, c.supportAt, c.assigner.wake())
	case handingOver:
		return min(wake, c.supportAt, c.stop.retryAt, c.stop.deadline)
	case finished:
		return wake
	default:
		return min(wake, c.phaseEnd, c.supportAt)
	}
}

// Assigning reports whether this Core is the group's assigner at now.
func (c *Core) Assigning(now time.Duration) bool {
	return c.phase == assigning && c.registered.Held(now)
}

// View returns the newest view that this Core published or received, or nil.
func (c *Core) View() *ownership.View { return c.known.view }

// Record returns the newest record that this Core knows, or nil. It must not be changed.
func (c *Core) Record() *ownership.Record { return c.known.newest }

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) newNonce() string {
	c.nonceCount++
	return fmt.Sprintf("%s/%d/%d", c.opts.Self, c.opts.Incarnation, c.nonceCount)
}

func (c *Core) candidates() []ownership.VMID {
	if c.known.newest == nil {
		return nil
	}
	return c.known.newest.Candidates
}

// candidateIndex returns the index of this VM in the candidate list, or -1. The list is in
// order of preference.
func (c *Core) candidateIndex() int {
	return slices.Index(c.candidates(), c.opts.Self)
}
