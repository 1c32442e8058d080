package shard

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	mathrand "math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/basiltally/basiltally/boottime"
	"github.com/basiltally/basiltally/evidence"
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/peer"
	"github.com/basiltally/basiltally/quarantine"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/relayfeed"
)

// AgentOptions configures an Agent.
type AgentOptions struct {
	// VM is the name of this VM, and Address is the address at which its peers reach it.
	VM, Address string
	// Seeds are addresses of peers to ask for the assigner while the store does not answer.
	Seeds     []string
	Store     store.Store
	Peers     *peer.Client
	Orders    Orders
	Directory *fleet.Directory
	// Services returns the names of the services whose targets own keys. It returns
	// false while the configuration or the targets are not known yet.
	Services func() ([]string, bool)
	// Placement restricts which targets may own keys by their places.
	Placement PlacementOptions
	// Cold reports whether a target is cold, and how many requests per second it can handle then. Nil reports none.
	Cold func(*fleet.Target) (perSecond float64, cold bool)
	// Report returns the loads and target states that this VM reports to the assigner.
	Report func() *pb.ShardReport
	// Registerer registers the metrics of the assigner; nil does not.
	Registerer prometheus.Registerer
	// Suspects holds the requests that crash targets, which the VMs share through the assigner. If it is nil,
	// none are shared.
	Suspects *quarantine.Tracker
	// OnVMs is called with the addresses of the serving VMs when their list is updated.
	OnVMs func([]string)
	// OnTargets is called with changed target states, which combine the reports of all VMs.
	OnTargets func([]*pb.TargetState)
	// Feed holds the store changes that the assigner relays to the other VMs. If it is
	// nil, no changes are relayed.
	Feed *relayfeed.Feed
	// RelayAbove is the number of VMs above which the assigner relays store changes.
	RelayAbove int
	// TakeOverDelay is how much longer than other VMs this VM waits before it takes over
	// as assigner. A VM without a delay is preferred as assigner.
	TakeOverDelay time.Duration
	// LinkMbps is the bandwidth of this VM in Mbit/s. The assigner uses a share of it for tables and target states. Zero if
	// unknown, which does not bound them.
	LinkMbps float64
	// RoleLease is how long the assigner may act after the store confirmed its role.
	// Default 3 s.
	RoleLease time.Duration
	// ReportInterval is the interval between reports to the assigner. Default 250 ms.
	ReportInterval time.Duration
	// StartSpread is the period over which VMs that start together spread their first reads of the
	// store. Default 50 ms. With many VMs, most then find that another one is the assigner already.
	StartSpread time.Duration
	// FirstTableDelay is how long no new target may have appeared before the first
	// table of a service is created. Default 2.5 s.
	FirstTableDelay time.Duration
	Leases          LeaseOptions
	Plan            PlanOptions
	Logger          *slog.Logger
}

func (o AgentOptions) withDefaults() AgentOptions {
	o.RoleLease = cmp.Or(o.RoleLease, 3*time.Second)
	o.ReportInterval = cmp.Or(o.ReportInterval, 250*time.Millisecond)
	o.FirstTableDelay = cmp.Or(o.FirstTableDelay, 2500*time.Millisecond)
	o.StartSpread = cmp.Or(o.StartSpread, 50*time.Millisecond)
	o.Leases = o.Leases.withDefaults()
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	o.Leases.Logger = o.Logger
	return o
}

const (
	// updateInterval is the longest time between two updates that the assigner sends.
	updateInterval = 300 * time.Millisecond
	// assignerTimeout is the time without an update after which a VM searches for the
	// assigner again.
	assignerTimeout = 5 * updateInterval
	// searchInterval is the least pause between two searches for the assigner.
	searchInterval = 200 * time.Millisecond
	// searchSpreadPerVM lengthens, for each VM, the period over which searches for a lost
	// assigner are spread. Most VMs then search late enough to find the next assigner.
	searchSpreadPerVM = 3 * time.Millisecond
	// checkerCount is the number of VMs that check at the same time whether the store
	// answers them but not the assigner.
	checkerCount = 3
	// checkerTurn is how long the same VMs check before the next ones do.
	checkerTurn = updateInterval
	// delayedCheckAfter is the time without a confirmation from which VMs with a
	// take-over delay check as well.
	delayedCheckAfter = 15 * time.Second
	// refusalRetryPause is the pause between two connection attempts to the assigner. If
	// both are refused, another VM takes the role over.
	refusalRetryPause = 100 * time.Millisecond
	// suspectAge is the age up to which a VM reports suspected requests again to an assigner that it begins
	// to follow. It covers the loss of the assigner that has them.
	suspectAge = time.Minute
	// announceParallelism is the largest number of announcements sent at the same time.
	announceParallelism = 16
	// readTablesAfter is how long a VM that starts waits for tables from the assigner before it reads
	// the records in the store, which are as long as there are targets.
	readTablesAfter = 500 * time.Millisecond
)

// Agent keeps this VM's tables of owners up to date, and makes this VM the
// assigner when there is none.
type Agent struct {
	opts        AgentOptions
	incarnation string

	tables atomic.Pointer[map[string]*Table]
	mu     sync.Mutex
	// changed is closed and replaced when a table changes.
	changed chan struct{}
	// peers are the addresses of the VMs in the list that the assigner last sent.
	peers []string
	// active is the state of the assigner while this VM is the assigner, else nil.
	active *assigner
	// following is the address of the assigner that this VM follows, or empty.
	following string
	// lastConfirmation is the last role confirmation that an assigner has sent.
	lastConfirmation roleConfirmation
	// knownTerm is the highest term of an assigner that this VM has read, been told or had itself.
	knownTerm uint64
	// era is the latest era of the store in which this VM has read the role, first at eraSince.
	era      store.Era
	eraSince time.Duration
	holders  holderMemory
	// announcements receives the address of an assigner that has announced itself.
	announcements chan string
	// cancelFollow ends the stream to the assigner that this VM follows.
	cancelFollow context.CancelFunc
	// othersPreferred is set until an assigner reports that no VM without a take-over
	// delay is left.
	othersPreferred bool
	resigned        atomic.Bool
	// soon has a value if the next report is to be sent early.
	soon    chan struct{}
	metrics *assignerMetrics
}

// roleConfirmation records when the store last confirmed an assigner's role, as
// reported by the assigner.
type roleConfirmation struct {
	term, beat  uint64
	confirmedAt time.Duration
}

// NewAgent returns an Agent that knows no tables.
func NewAgent(opts AgentOptions) *Agent {
	a := &Agent{opts: opts.withDefaults(), incarnation: newNonce(), changed: make(chan struct{}), othersPreferred: true, announcements: make(chan string, 1), soon: make(chan struct{}, 1)}
	a.metrics = newAssignerMetrics(a.opts.Registerer)
	a.tables.Store(&map[string]*Table{})
	return a
}

func newNonce() string {
	var b [8]byte
	rand.Read(b[:]) // Never fails.
	return hex.EncodeToString(b[:])
}

// Table returns the table of the service, or nil while none is known.
func (a *Agent) Table(service string) *Table { return (*a.tables.Load())[service] }

// Changed returns a channel that is closed at the next change of a table.
func (a *Agent) Changed() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed
}

// publish stores the table of a service if it is newer than the known one, and
// signals the change.
func (a *Agent) publish(service string, t *Table) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := *a.tables.Load()
	if known := old[service]; known != nil && !known.Version.Less(t.Version) {
		return
	}
	next := make(map[string]*Table, len(old)+1)
	for name, table := range old {
		next[name] = table
	}
	next[service] = t
	a.holders.addTable(service, t, boottime.Now())
	a.tables.Store(&next)
	close(a.changed)
	a.changed = make(chan struct{})
	a.opts.Logger.Info("new table of owners", "service", service, "term", t.Version.Term, "seq", t.Version.Seq, "ranges", len(t.Entries), "held", countHeld(t))
}

func countHeld(t *Table) int {
	n := 0
	for _, e := range t.Entries {
		if e.Held {
			n++
		}
	}
	return n
}

// Run follows the assigner, or acts as the assigner, until the context ends. If no assigner sends
// tables soon, it reads them from the store. It returns nil.
func (a *Agent) Run(ctx context.Context) error {
	pause(ctx, a.startDelay())
	var parts sync.WaitGroup
	defer parts.Wait()
	if a.opts.Suspects != nil {
		parts.Go(func() { a.sendSuspects(ctx) })
	}
	parts.Go(func() {
		pause(ctx, readTablesAfter)
		if len(*a.tables.Load()) == 0 && ctx.Err() == nil {
			a.readTables(ctx)
		}
	})
	parts.Go(func() { a.rememberHolders(ctx) })
	s := assignerSearch{agent: a}
	for ctx.Err() == nil {
		s.step(ctx)
	}
	return nil
}

// startDelay returns how long this VM waits at its start before its first search for the assigner. VMs
// with a take-over delay search after the others, which most likely have the role by then.
func (a *Agent) startDelay() time.Duration {
	delay := mathrand.N(a.opts.StartSpread)
	if a.opts.TakeOverDelay > 0 {
		delay += a.opts.StartSpread
	}
	return delay
}

// Resign gives up the role of assigner, if this VM has it, and keeps this VM from
// taking it again. It returns once this VM has stopped acting as the assigner.
func (a *Agent) Resign() {
	a.resigned.Store(true)
	a.mu.Lock()
	active := a.active
	a.mu.Unlock()
	if active != nil {
		active.resign()
	}
}

// readTables publishes the tables described by the records in the store, for use
// until the assigner sends newer ones.
func (a *Agent) readTables(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objects, _, err := a.opts.Store.List(ctx, RangePrefix)
	if err != nil {
		a.opts.Logger.Warn("could not read records of ranges", "error", err.Error())
		return
	}
	for _, obj := range objects {
		r, err := DecodeRecord(obj.Value)
		if err != nil {
			a.opts.Logger.Error("could not decode record of ranges", "key", obj.Key, "error", err.Error())
			continue
		}
		t := TableFromRecord(r)
		t.PublishedAt = boottime.Now()
		a.publish(obj.Key[len(RangePrefix):], t)
	}
}

// assignerSearch finds the assigner, and detects when there is none.
type assignerSearch struct {
	agent *Agent
	// seen is the version of the role in the store that was last read.
	seen store.Version
	// seenAt is the instant at which that version was first read.
	seenAt time.Duration
}

// step reads from the store which VM is the assigner. It then follows that VM, takes
// the role over or waits.
func (s *assignerSearch) step(ctx context.Context) {
	a := s.agent
	r, version, err := a.readRoleAndEra(ctx)
	if err != nil {
		a.opts.Logger.Info("could not read the assigner's role", "error", err.Error())
		a.followThroughPeer(ctx)
		a.awaitNextSearch(ctx)
		return
	}
	if version != s.seen || s.seenAt == 0 {
		s.seen, s.seenAt = version, boottime.Now()
	}
	a.learnTerm(r.Term)
	v := s.checkVacancy(ctx, r, version)
	if v.reason == "" || a.resigned.Load() {
		a.awaitNextSearch(ctx)
		return
	}
	if v.role != nil {
		r, version = *v.role, v.version
	}
	if wait := a.restorableFor(r, version, v.seenAt); wait > 0 {
		a.followThroughPeer(ctx)
		a.awaitSearch(ctx, min(wait, searchInterval))
		return
	}
	if delay := a.takeOverDelay(); delay > 0 && !s.vacantAfter(ctx, delay, version) {
		return
	}
	a.takeOver(ctx, r, version, v)
}

// readRoleAndEra is readRole, and records since when this VM knows the store's era.
func (a *Agent) readRoleAndEra(ctx context.Context) (role, store.Version, error) {
	r, version, err := readRole(ctx, a.opts.Store)
	if err == nil {
		a.learnEra(version.Era())
	}
	return r, version, err
}

// BeginEra tells the Agent that the store has come back from an older copy, as shown by an answer of the era. If this VM is the
// assigner, it writes its role again.
func (a *Agent) BeginEra(era store.Era) {
	a.learnEra(era)
	a.mu.Lock()
	active := a.active
	a.mu.Unlock()
	if active != nil {
		active.confirmSoon()
	}
}

// learnEra records that the store has come to an era by now.
func (a *Agent) learnEra(era store.Era) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if era > a.era || a.eraSince == 0 {
		a.era, a.eraSince = era, boottime.Now()
	}
}

// vacantAfter waits, so that a preferred VM can take the role over first. It reports whether
// the role in the store still has the version afterwards.
func (s *assignerSearch) vacantAfter(ctx context.Context, delay time.Duration, version store.Version) bool {
	pause(ctx, delay)
	_, now, err := s.agent.readRoleAndEra(ctx)
	return err == nil && now == version && ctx.Err() == nil && !s.agent.resigned.Load()
}

// awaitNextSearch pauses before the next search for the assigner. If an assigner
// announces itself meanwhile, it follows that one instead.
func (a *Agent) awaitNextSearch(ctx context.Context) {
	a.mu.Lock()
	vms := len(a.peers)
	a.mu.Unlock()
	a.awaitSearch(ctx, searchInterval+mathrand.N(searchInterval+time.Duration(vms)*searchSpreadPerVM)+a.takeOverDelay())
}

// awaitSearch is awaitNextSearch with a pause of the given length.
func (a *Agent) awaitSearch(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case address := <-a.announcements:
		if err := a.follow(ctx, address); err != nil {
			a.opts.Logger.Info("stopped following the announced assigner", "address", address, "error", err.Error())
		}
	case <-time.After(length):
	}
}

// takeOverDelay returns how much longer this VM waits than the preferred VMs. It
// returns 0 if no other VM is preferred.
func (a *Agent) takeOverDelay() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.othersPreferred {
		return 0
	}
	return a.opts.TakeOverDelay
}

// vacancy describes why the role may be taken over, and until when the previous
// assigner may act.
type vacancy struct {
	// reason is empty if the role may not be taken over.
	reason string
	// sign is what was observed of the previous assigner.
	sign evidence.Sign
	// actsUntil is the last instant at which the previous assigner may send orders.
	actsUntil time.Duration
	// role and version are set if the role was read a second time.
	role    *role
	version store.Version
	// seenAt is the instant at which this version of the role was first read.
	seenAt time.Duration
}

// vacant returns the vacancy of the role r, of whose holder the sign was observed.
func (s *assignerSearch) vacant(reason string, r role, sign evidence.Sign) vacancy {
	return vacancy{reason: reason, sign: sign, actsUntil: s.actsUntil(r, sign), seenAt: s.seenAt}
}

// checkVacancy follows the assigner named by the role r, if there is one. When following
// ends, it returns why this VM may take the role over. The reason is empty if it may not.
func (s *assignerSearch) checkVacancy(ctx context.Context, r role, version store.Version) vacancy {
	a := s.agent
	if version.Revision() == 0 || r.VM == "" {
		return s.vacant("no VM is the assigner", r, evidence.Resignation)
	}
	if r.VM == a.opts.VM && r.Incarnation != a.incarnation {
		if a.takeOverDelay() > 0 {
			a.releaseEarlierRole(ctx, r, version)
			return vacancy{}
		}
		return s.vacant("the role is held by an earlier start of this VM", r, evidence.Testimony)
	}
	err := a.follow(ctx, r.Address)
	if evidence.Refused(err) {
		// The process may have ended, or the path to it may be cut. This VM takes the role and the relay over at
		// once; orders wait until the assigner may no longer act.
		pause(ctx, refusalRetryPause)
		if evidence.Refused(a.follow(ctx, r.Address)) {
			return s.vacant("the assigner refuses connections", r, evidence.Refusal)
		}
	}
	if errors.Is(err, errUnconfirmed) {
		// The store answers this VM but no longer the assigner: the role in the store
		// still has the beat that the assigner last reported as confirmed.
		now, nowVersion, err := a.readRoleAndEra(ctx)
		if err == nil && a.confirmedLast(now) {
			if nowVersion != s.seen {
				s.seen, s.seenAt = nowVersion, boottime.Now()
			}
			v := s.vacant("the store does not confirm the assigner", now, evidence.Silence)
			v.role, v.version = &now, nowVersion
			return v
		}
	}
	if !s.awaitEndOfRole(ctx, r) {
		return vacancy{}
	}
	if s.actsUntil(r, evidence.Silence) <= boottime.Now() && s.unchanged(ctx) {
		return s.vacant("the assigner is silent", r, evidence.Silence)
	}
	return vacancy{}
}

// awaitEndOfRole waits until the assigner that wrote the role r, which did not answer, may no longer
// act, if that is soon: another search would take up to assignerTimeout. It returns false if
// an assigner announces itself meanwhile.
func (s *assignerSearch) awaitEndOfRole(ctx context.Context, r role) bool {
	wait := s.actsUntil(r, evidence.Silence) - boottime.Now()
	if wait <= 0 || wait > assignerTimeout {
		return true
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	case address := <-s.agent.announcements:
		select {
		case s.agent.announcements <- address:
		default: // A newer announcement has come.
		}
		return false
	}
	return true
}

// confirmedLast reports whether the role has the term and beat that its holder last
// reported as confirmed.
func (a *Agent) confirmedLast(r role) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastConfirmation.term == r.Term && a.lastConfirmation.beat == r.Beat
}

// releaseEarlierRole gives up the role that an earlier start of this VM had, so that
// other VMs can take it over.
func (a *Agent) releaseEarlierRole(ctx context.Context, r role, version store.Version) {
	given := role{Term: r.Term, EarlierActsForMs: r.EarlierActsForMs, EarlierArriveForMs: r.EarlierArriveForMs, Settled: true, Era: r.Era, RecordsPending: r.RecordsPending}
	if _, err := putRole(ctx, a.opts.Store, given, version); err != nil {
		a.opts.Logger.Info("could not give up the role of an earlier start", "term", r.Term, "error", err.Error())
		return
	}
	a.opts.Logger.Info("gave up the role of an earlier start", "term", r.Term)
}

// actsUntil returns the last instant at which the assigner that wrote the role r, of which the
// sign was observed, may act. The role lease counts from the start of that write. The write started
// before this VM first read the role; if the assigner has reported the time of its
// confirmation, that gives an earlier and more precise bound.
func (s *assignerSearch) actsUntil(r role, sign evidence.Sign) time.Duration {
	a := s.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	confirmed := s.seenAt
	if a.lastConfirmation.term == r.Term && a.lastConfirmation.beat == r.Beat {
		confirmed = min(confirmed, a.lastConfirmation.confirmedAt)
	}
	return evidence.ActsUntil(sign, confirmed, a.opts.RoleLease, boottime.Now())
}

// learnTerm records a term of an assigner.
func (a *Agent) learnTerm(term uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.knownTerm = max(a.knownTerm, term)
}

// highestTerm returns the highest term of an assigner that this VM knows.
func (a *Agent) highestTerm() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.knownTerm
}

// unchanged reports whether the role in the store still has the version that was last
// read. It returns false if the store does not answer.
func (s *assignerSearch) unchanged(ctx context.Context) bool {
	_, version, err := s.agent.readRoleAndEra(ctx)
	return err == nil && version == s.seen
}

// takeOver makes this VM the assigner and acts as such until another VM supersedes it,
// it resigns or the context ends.
func (a *Agent) takeOver(ctx context.Context, old role, version store.Version, v vacancy) {
	start := boottime.Now()
	p, settled := a.predecessorOf(old, version, v, start)
	r := old.next(a.opts.VM, a.incarnation, a.opts.Address, version, a.highestTerm())
	r.setEarlier(p.until, p.arriveUntil, start)
	written, err := putRole(ctx, a.opts.Store, r, version)
	if err != nil {
		a.opts.Logger.Info("could not take over as assigner", "term", r.Term, "reason", v.reason, "error", err.Error())
		pause(ctx, mathrand.N(searchInterval))
		return
	}
	if settled {
		p.extend(boottime.Now())
	}
	a.opts.Logger.Info("took over as assigner", "term", r.Term, "from", old.VM, "its_term", old.Term, "revision", version,
		"of_earlier_era", old.ofEarlierEra(version), "records_pending", r.RecordsPending,
		"reason", v.reason, "sign", v.sign.String(), "orders_in_ms", max(p.until-boottime.Now(), 0).Milliseconds())
	version = written
	active := newAssigner(ctx, a, r.Term, start, p)
	a.mu.Lock()
	a.active, a.following = active, ""
	a.knownTerm = max(a.knownTerm, r.Term)
	a.mu.Unlock()
	if a.resigned.Load() {
		active.stop(errStopping)
	}
	if a.opts.Feed != nil {
		a.opts.Feed.BecomeReader()
	}
	go a.announce(ctx, r.Term)
	err = active.run(r, version)
	a.mu.Lock()
	a.active = nil
	a.mu.Unlock()
	a.opts.Logger.Info("no longer the assigner", "term", active.term.Load(), "reason", err.Error())
}

// restorableFor returns how long an assigner that this VM doesn't know may still write its role again, if the role, which was first read
// at the instant seenAt, comes from an older copy of the store.
func (a *Agent) restorableFor(r role, version store.Version, seenAt time.Duration) time.Duration {
	if version.Revision() == 0 || !r.ofEarlierEra(version) {
		return 0
	}
	return a.unknownActsUntil(seenAt) - boottime.Now()
}

// unknownActsUntil returns the last instant at which an assigner may act that the role in the store, which was first read at the
// instant seenAt, does not name. It had the role in an earlier era, which had ended when this VM first saw the present one,
// or in the present one, before a late write of an earlier era replaced it.
func (a *Agent) unknownActsUntil(seenAt time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(a.eraSince, seenAt) + a.opts.RoleLease
}

// predecessorOf returns the predecessor that wrote the role, of which this VM observed the vacancy, and whether it has settled. Of a role
// from an older copy of the store it is not known who was the assigner since.
func (a *Agent) predecessorOf(old role, version store.Version, v vacancy, now time.Duration) (p predecessor, settled bool) {
	if old.ofEarlierEra(version) {
		p = newPredecessor(old, max(v.actsUntil, a.unknownActsUntil(v.seenAt)), a.opts.Leases, false, now)
		p.vm = ""
		return p, false
	}
	// The orders of an earlier start of this process may still wait in the link, before the write of the role.
	settled = v.sign == evidence.Testimony || v.sign == evidence.Resignation && old.Settled
	return newPredecessor(old, v.actsUntil, a.opts.Leases, settled, now), settled
}

// announce notifies the other VMs that this VM is the assigner. VMs that the store refuses,
// and an assigner that has been superseded, would not find this out from the store.
func (a *Agent) announce(ctx context.Context, term uint64) {
	a.tell(ctx, a.otherVMs(), &pb.ShardUpdate{Term: term, Assigner: a.opts.Address})
}

// otherVMs returns the addresses of the other VMs that this VM knows, seeds included.
func (a *Agent) otherVMs() []string {
	a.mu.Lock()
	others := append(slices.Clone(a.peers), a.opts.Seeds...)
	a.mu.Unlock()
	slices.Sort(others)
	return slices.DeleteFunc(slices.Compact(others), func(address string) bool { return address == a.opts.Address })
}

// tell sends an update to VMs that do not follow this one. Those that cannot be reached are passed over.
func (a *Agent) tell(ctx context.Context, addresses []string, u *pb.ShardUpdate) {
	var g errgroup.Group
	g.SetLimit(announceParallelism)
	for _, address := range addresses {
		g.Go(func() error {
			if err := a.tellOne(ctx, address, u); err != nil {
				a.opts.Logger.Debug("could not tell a VM", "address", address, "term", u.GetTerm(), "suspects", len(u.GetSuspects().GetSuspects()), "error", err.Error())
			}
			return nil
		})
	}
	// The functions log their errors and return none.
	_ = g.Wait()
}

func (a *Agent) tellOne(ctx context.Context, address string, u *pb.ShardUpdate) error {
	ctx, cancel := context.WithTimeout(ctx, assignerTimeout)
	defer cancel()
	defer a.opts.Peers.CloseSession(address)
	s, err := a.opts.Peers.Open(ctx, address)
	if err != nil {
		return err
	}
	defer s.Close()
	if err := s.Send(&pb.Envelope{Body: &pb.Envelope_ShardUpdate{ShardUpdate: u}}); err != nil {
		return err
	}
	if err := s.SetReadDeadline(time.Now().Add(assignerTimeout)); err != nil {
		return err
	}
	// The peer closes the stream once it has read the message.
	_, _ = s.Recv()
	return nil
}

// handleAnnouncement makes this VM follow an assigner that has announced itself, if its
// term is newer than the known one. If this VM is the assigner, it stops acting as such.
func (a *Agent) handleAnnouncement(term uint64, address string) {
	a.mu.Lock()
	active, cancelFollow := a.active, a.cancelFollow
	known := a.lastConfirmation.term
	if active != nil {
		known = active.term.Load()
	}
	a.mu.Unlock()
	if term <= known {
		return
	}
	a.opts.Logger.Info("assigner announced", "address", address, "term", term, "known_term", known)
	select {
	case <-a.announcements: // Discards an older announcement.
	default:
	}
	select {
	case a.announcements <- address:
	default: // A concurrent announcement filled the channel; its assigner knows the newest assigner.
	}
	if active != nil {
		active.stop(errSuperseded)
	}
	if cancelFollow != nil {
		cancelFollow()
	}
}

// followThroughPeer requests the assigner's address from a random peer or seed and follows
// that assigner.
func (a *Agent) followThroughPeer(ctx context.Context) {
	a.mu.Lock()
	candidates := slices.Clone(a.peers)
	a.mu.Unlock()
	candidates = append(candidates, a.opts.Seeds...)
	if len(candidates) == 0 {
		return
	}
	address := candidates[mathrand.N(len(candidates))]
	if address == a.opts.Address {
		return
	}
	if err := a.follow(ctx, address); err != nil {
		a.opts.Logger.Debug("could not follow an assigner through the peer", "address", address, "error", err.Error())
	}
}

// RelayBatch sends a batch of store changes to the followers while this VM is the
// assigner. Otherwise it does nothing.
func (a *Agent) RelayBatch(b relayfeed.Batch) {
	a.mu.Lock()
	active := a.active
	a.mu.Unlock()
	if active != nil {
		active.relayBatch(b)
	}
}

// confirmDelivery tells the feed if an order has been answered.
func (a *Agent) confirmDelivery(r Result) {
	if a.opts.Feed != nil && r.answered() {
		a.opts.Feed.ConfirmDelivery(r.Sent)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
