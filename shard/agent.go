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
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/basiltally/basiltally/boottime"
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/peer"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/relayfeed"
)

// AgentOptions of an Agent.
type AgentOptions struct {
	// VM names this VM; Address is where its peers reach it.
	VM, Address string
	// Seeds are addresses of peers to ask while the store does not answer.
	Seeds     []string
	Store     store.Store
	Peers     *peer.Client
	Orders    Orders
	Directory *fleet.Directory
	// Services returns the names of the services whose targets own keys, and false
	// while the configuration or the targets are not known yet.
	Services func() ([]string, bool)
	// Report returns what this VM has to tell the assigner.
	Report func() *pb.ShardReport
	// OnVMs is told the number of VMs that serve.
	OnVMs func(int)
	// OnTargets is told what all VMs together know of the targets.
	OnTargets func([]*pb.TargetState)
	// Feed is the feed of the store that the assigner shares with the other VMs; nil
	// shares none.
	Feed *relayfeed.Feed
	// RelayAbove is the number of VMs above which it is shared.
	RelayAbove int
	// Reluctance is how much longer than others this VM waits before it takes over.
	TakeOverDelay time.Duration
	// RoleLease is how long the assigner acts after the store confirmed it. Default 3 s.
	RoleLease time.Duration
	// ReportInterval is the interval of reports. Default 250 ms.
	ReportInterval time.Duration
	// FirstTableDelay is how long no new target must have appeared before the first
	// table of a service is made. Default 2.5 s.
	FirstTableDelay time.Duration
	Leases          LeaseOptions
	Plan            PlanOptions
	Logger          *slog.Logger
}

func (o AgentOptions) withDefaults() AgentOptions {
	o.RoleLease = cmp.Or(o.RoleLease, 3*time.Second)
	o.ReportInterval = cmp.Or(o.ReportInterval, 250*time.Millisecond)
	o.FirstTableDelay = cmp.Or(o.FirstTableDelay, 2500*time.Millisecond)
	o.Leases = o.Leases.withDefaults()
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	o.Leases.Logger = o.Logger
	return o
}

const (
	// updateInterval is the longest time between two updates of the assigner.
	updateInterval = 300 * time.Millisecond
	// silence is the time without an update after which the assigner is looked for
	// again.
	silence = 5 * updateInterval
	// seekPause separates two looks for the assigner.
	seekPause = 200 * time.Millisecond
	// seekSpread is added for each VM to the span in which the VMs look for a lost
	// assigner, so that most of them find the next one.
	seekSpread = 3 * time.Millisecond
	// checkers is the number of VMs that look at a time whether the store answers them
	// but not the assigner, and checkTurn how long it is their turn.
	checkers  = 3
	checkTurn = updateInterval
	// reluctantCheck is the time without a confirmation from which VMs that leave the
	// role to others look too.
	reluctantCheck = 15 * time.Second
	// announceAtOnce bounds the announcements under way.
	announceAtOnce = 16
	// firstPause spreads the first reads of VMs that start together.
	firstPause = 50 * time.Millisecond
	// refusalPause separates the two refused connections that show that the
	// assigner's process has ended.
	refusalPause = 100 * time.Millisecond
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
	// peers are the addresses of the other VMs, as last heard.
	peers []string
	// leading is set while this VM is the assigner.
	leading *leader
	// following is the address of the assigner that this VM follows.
	following string
	// heard is what the assigner last said of its role.
	heard heard
	// hints receives the address of an assigner that has announced itself.
	hints chan string
	// leave ends the stream to the assigner that this VM follows.
	leave context.CancelFunc
	// othersWilling is set until an assigner tells that no other VM is to be preferred.
	othersWilling bool
	resigned      atomic.Bool
}

// heard is an assigner's word on when the store last confirmed it.
type heard struct {
	term, beat  uint64
	confirmedAt time.Duration
}

// NewAgent returns an Agent that knows no tables.
func NewAgent(opts AgentOptions) *Agent {
	a := &Agent{opts: opts.withDefaults(), incarnation: newNonce(), changed: make(chan struct{}), othersWilling: true, hints: make(chan string, 1)}
	a.tables.Store(&map[string]*Table{})
	return a
}

func newNonce() string {
	var b [8]byte
	rand.Read(b[:]) // Never fails.
	return hex.EncodeToString(b[:])
}

// Table returns the table of a service, or nil while none is known.
func (a *Agent) Table(service string) *Table { return (*a.tables.Load())[service] }

// Changed returns a channel that is closed at the next change of a table.
func (a *Agent) Changed() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed
}

// publish takes a table if it is newer than the known one.
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
	a.tables.Store(&next)
	close(a.changed)
	a.changed = make(chan struct{})
	a.opts.Logger.Info("table of owners", "service", service, "term", t.Version.Term, "seq", t.Version.Seq, "ranges", len(t.Entries), "held", heldEntries(t))
}

func heldEntries(t *Table) int {
	n := 0
	for _, e := range t.Entries {
		if e.Held {
			n++
		}
	}
	return n
}

// Run follows the assigner, or is it, until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	pause(ctx, mathrand.N(firstPause)+a.reluctance())
	a.readTables(ctx)
	s := seeker{agent: a}
	for ctx.Err() == nil {
		s.step(ctx)
	}
	return nil
}

// Resign makes this VM the assigner no longer, nor again.
func (a *Agent) Resign() {
	a.resigned.Store(true)
	a.mu.Lock()
	l := a.leading
	a.mu.Unlock()
	if l != nil {
		l.resign()
	}
}

// readTables takes the tables from the store, for use until the assigner is heard.
func (a *Agent) readTables(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objects, _, err := a.opts.Store.List(ctx, RangePrefix)
	if err != nil {
		a.opts.Logger.Warn("records of ranges not read", "error", err.Error())
		return
	}
	for _, obj := range objects {
		r, err := DecodeRecord(obj.Value)
		if err != nil {
			a.opts.Logger.Error("record of ranges not readable", "key", obj.Key, "error", err.Error())
			continue
		}
		a.publish(obj.Key[len(RangePrefix):], TableOf(r))
	}
}

// seeker looks for the assigner.
type seeker struct {
	agent *Agent
	// seen is the version of the role when it was last seen to change, at seenAt.
	seen   store.Version
	seenAt time.Duration
}

// step reads who is the assigner, and follows it, becomes it or waits.
func (s *seeker) step(ctx context.Context) {
	a := s.agent
	r, version, err := readRole(ctx, a.opts.Store)
	if err != nil {
		a.opts.Logger.Info("role of the assigner not read", "error", err.Error())
		a.askPeers(ctx)
		a.seekAgain(ctx)
		return
	}
	if version != s.seen || s.seenAt == 0 {
		s.seen, s.seenAt = version, boottime.Now()
	}
	v := s.vacant(ctx, r, version)
	if v.reason == "" || a.resigned.Load() {
		a.seekAgain(ctx)
		return
	}
	if v.role != nil {
		r, version = *v.role, v.version
	}
	a.takeOver(ctx, r, version, v)
}

// seekAgain pauses before the next look for the assigner.
func (a *Agent) seekAgain(ctx context.Context) {
	a.mu.Lock()
	vms := len(a.peers)
	a.mu.Unlock()
	select {
	case <-ctx.Done():
	case address := <-a.hints:
		if err := a.follow(ctx, address); err != nil {
			a.opts.Logger.Info("announced assigner left", "address", address, "error", err.Error())
		}
	case <-time.After(seekPause + mathrand.N(seekPause+time.Duration(vms)*seekSpread) + a.reluctance()):
	}
}

// reluctance is how much longer this VM waits than those that are to be preferred.
func (a *Agent) reluctance() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.othersWilling {
		return 0
	}
	return a.opts.TakeOverDelay
}

// vacancy says why the role may be taken over, and until when the last assigner
// may act.
type vacancy struct {
	reason string
	// actsUntil bounds the sending of orders by the last assigner.
	actsUntil time.Duration
	// role and version are set if the role was read once more.
	role    *role
	version store.Version
}

// vacant returns why this VM may take the role over, or no reason.
func (s *seeker) vacant(ctx context.Context, r role, version store.Version) vacancy {
	a := s.agent
	if version == 0 || r.VM == "" {
		return vacancy{reason: "no assigner", actsUntil: boottime.Now()}
	}
	if r.VM == a.opts.VM && r.Incarnation != a.incarnation {
		if a.reluctance() > 0 {
			a.vacate(ctx, r, version)
			return vacancy{}
		}
		return vacancy{reason: "held by an earlier start of this VM", actsUntil: boottime.Now()}
	}
	err := a.follow(ctx, r.Address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		pause(ctx, refusalPause)
		if errors.Is(a.follow(ctx, r.Address), syscall.ECONNREFUSED) {
			return vacancy{reason: "the assigner's process has ended", actsUntil: boottime.Now()}
		}
	}
	if errors.Is(err, errUnconfirmed) {
		// The store answers this VM, but the assigner no longer: it has told of the beat
		// that the role still bears.
		now, nowVersion, err := readRole(ctx, a.opts.Store)
		if err == nil && a.lastHeard(now) {
			return vacancy{
				reason: "the store does not confirm the assigner", actsUntil: s.actsUntil(now), role: &now, version: nowVersion,
			}
		}
	}
	if s.actsUntil(r) <= boottime.Now() && s.unchanged(ctx) {
		return vacancy{reason: "the assigner is silent", actsUntil: s.actsUntil(r)}
	}
	return vacancy{}
}

// lastHeard reports whether the role is as its holder has told.
func (a *Agent) lastHeard(r role) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.heard.term == r.Term && a.heard.beat == r.Beat
}

// vacate gives up the role that an earlier start of this VM had, for others to take.
func (a *Agent) vacate(ctx context.Context, r role, version store.Version) {
	if _, err := putRole(ctx, a.opts.Store, role{Term: r.Term}, version); err != nil {
		a.opts.Logger.Info("role of an earlier start not given up", "term", r.Term, "error", err.Error())
		return
	}
	a.opts.Logger.Info("role of an earlier start given up", "term", r.Term)
}

// actsUntil bounds how long an assigner acts that has written the role as it is:
// it counts from the start of that write, which was before the role was first
// seen so, and is known better if the assigner has told it.
func (s *seeker) actsUntil(r role) time.Duration {
	a := s.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	confirmed := s.seenAt
	if a.heard.term == r.Term && a.heard.beat == r.Beat {
		confirmed = min(confirmed, a.heard.confirmedAt)
	}
	return confirmed + a.opts.RoleLease
}

// unchanged reports whether the role is still as seen.
func (s *seeker) unchanged(ctx context.Context) bool {
	_, version, err := readRole(ctx, s.agent.opts.Store)
	return err == nil && version == s.seen
}

// takeOver makes this VM the assigner and acts as such until it is superseded.
func (a *Agent) takeOver(ctx context.Context, old role, version store.Version, v vacancy) {
	start := boottime.Now()
	r := role{VM: a.opts.VM, Incarnation: a.incarnation, Address: a.opts.Address, Term: old.Term + 1}
	version, err := putRole(ctx, a.opts.Store, r, version)
	if err != nil {
		a.opts.Logger.Info("take-over failed", "term", r.Term, "reason", v.reason, "error", err.Error())
		pause(ctx, mathrand.N(seekPause))
		return
	}
	a.opts.Logger.Info("took over as assigner", "term", r.Term, "from", old.VM, "reason", v.reason)
	// An order of the last assigner is under way for one timeout at most.
	l := newLeader(ctx, a, r.Term, start, v.actsUntil+a.opts.Leases.OrderTimeout)
	a.mu.Lock()
	a.leading, a.following = l, ""
	a.mu.Unlock()
	if a.resigned.Load() {
		l.stop(errStopping)
	}
	if a.opts.Feed != nil {
		a.opts.Feed.BecomeReader()
	}
	go a.announce(ctx, r.Term)
	err = l.run(r, version)
	a.mu.Lock()
	a.leading = nil
	a.mu.Unlock()
	a.opts.Logger.Info("no longer the assigner", "term", r.Term, "reason", err.Error())
}

// announce tells the other VMs that this one is the assigner, so that those which the
// store refuses, and a superseded assigner, learn of it.
func (a *Agent) announce(ctx context.Context, term uint64) {
	a.mu.Lock()
	peers := append(slices.Clone(a.peers), a.opts.Seeds...)
	a.mu.Unlock()
	slices.Sort(peers)
	var g errgroup.Group
	g.SetLimit(announceAtOnce)
	for _, address := range slices.Compact(peers) {
		if address == a.opts.Address {
			continue
		}
		g.Go(func() error {
			if err := a.announceTo(ctx, address, term); err != nil {
				a.opts.Logger.Debug("take-over not announced", "address", address, "term", term, "error", err.Error())
			}
			return nil
		})
	}
	// The functions return no errors.
	_ = g.Wait()
}

func (a *Agent) announceTo(ctx context.Context, address string, term uint64) error {
	ctx, cancel := context.WithTimeout(ctx, silence)
	defer cancel()
	defer a.opts.Peers.CloseSession(address)
	s, err := a.opts.Peers.Open(ctx, address)
	if err != nil {
		return err
	}
	defer s.Close()
	if err := s.Send(&pb.Envelope{Body: &pb.Envelope_ShardUpdate{ShardUpdate: &pb.ShardUpdate{
		Term: term, Assigner: a.opts.Address,
	}}}); err != nil {
		return err
	}
	if err := s.SetReadDeadline(time.Now().Add(silence)); err != nil {
		return err
	}
	// The peer closes the stream once it has read the message.
	_, _ = s.Recv()
	return nil
}

// heed takes the announcement of an assigner.
func (a *Agent) heed(term uint64, address string) {
	a.mu.Lock()
	l, leave := a.leading, a.leave
	known := a.heard.term
	if l != nil {
		known = l.term
	}
	a.mu.Unlock()
	if term <= known {
		return
	}
	a.opts.Logger.Info("assigner announced", "address", address, "term", term, "known_term", known)
	select {
	case <-a.hints: // An older one.
	default:
	}
	select {
	case a.hints <- address:
	default: // Another announcement came at the same moment; that assigner knows the newest.
	}
	if l != nil {
		l.stop(errSuperseded)
	}
	if leave != nil {
		leave()
	}
}

// askPeers follows an assigner that another VM knows of.
func (a *Agent) askPeers(ctx context.Context) {
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
		a.opts.Logger.Debug("peer is of no help", "address", address, "error", err.Error())
	}
}

// ShareBatch passes changes of the store on while this VM is the assigner.
func (a *Agent) RelayBatch(b relayfeed.Batch) {
	a.mu.Lock()
	l := a.leading
	a.mu.Unlock()
	if l != nil {
		l.broadcastBatch(b)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
