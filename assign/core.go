package assign

import (
	"fmt"
	"slices"
	"time"

	"github.com/basiltally/basiltally/lease"
	"github.com/basiltally/basiltally/ownership"
)

// phase is a stage of a Core on its way to being assigner.
type phase uint8

const (
	// following: another VM may be assigner.
	following phase = iota
	// querying: asking whether a majority would give support.
	querying
	// gathering: asking for support.
	gathering
	// takingOver: holding support and waiting for the store.
	takingOver
	// registering: telling a majority of the supporters the term and round.
	registering
	// leading: acting as assigner.
	assigning
	// handingOver: a leaving assigner that grants nothing more.
	handingOver
	// finished: the planned stop is complete.
	finished
)

// roundShift is the position of the round in Token.Seq.
const roundShift = 32

// roundStep separates the rounds of a term; the rest names the candidate, so
// that no two candidates ever use the same round of a term.
const roundStep = 64

// never is a clock reading that is not reached.
const farFuture = time.Duration(1<<63 - 1)

// Core decides for one group on one VM. It is not safe for concurrent use.
type Core struct {
	opts    Options
	now     time.Duration
	actions []Action

	phase     phase
	phaseEnd  time.Duration
	checkAt   time.Duration
	supportAt time.Duration
	// failures counts the last attempts that ended without a majority.
	failures int
	// willing holds the VMs that would give support.
	willing map[ownership.VMID]bool
	// support counts all promises, registered those given for the present term and round.
	support    *lease.Support
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
	// candidatesVersion is that of the list in use.
	candidatesVersion uint64
	// knows holds the list version that each supporter reported last.
	reportedVersions map[ownership.VMID]uint64
	hotKeys          keyHeat
	nonceCount       uint64
}

// New returns a Core that has just started: it waits for one support time
// before it asks for support.
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

// Step takes in one event at the VM's monotonic clock reading now, counted from
// the start of the process, and returns the actions to execute.
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

// NextWake returns the clock reading at which a Tick is due at the latest.
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

// preference returns the position of this VM in the candidate list, or -1.
func (c *Core) candidateIndex() int {
	return slices.Index(c.candidates(), c.opts.Self)
}
