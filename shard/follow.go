package shard

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/boottime"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/peer"
	"github.com/basiltally/basiltally/telemetry"
)

// errUnconfirmed reports that the store has not confirmed the assigner's role for more
// than half of the role lease, although it answers this VM.
var errUnconfirmed = errors.New("shard: the store does not confirm the assigner")

// errPanic reports that a message of the assigner could not be handled.
var errPanic = errors.New("shard: an update of the assigner caused a panic")

// follow reports to the assigner at the address and applies its updates until the
// connection fails or no update arrives within assignerTimeout. A VM that is not the
// assigner answers with the address of the one it follows, which is followed instead.
// The error is never nil and says why following ended.
func (a *Agent) follow(ctx context.Context, address string) error {
	next, err := a.followOne(ctx, address)
	if next != "" && next != address && next != a.opts.Address {
		_, err = a.followOne(ctx, next)
	}
	return err
}

// followOne follows the VM at the address. It returns the redirect of a VM that is not
// the assigner, which may be empty, and the error that ended the stream.
func (a *Agent) followOne(ctx context.Context, address string) (redirect string, err error) {
	defer telemetry.Recover(a.opts.Logger, "updates of the assigner", []any{"address", address}, func() { err = errPanic })
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	open, cancelOpen := context.WithTimeout(ctx, assignerTimeout)
	defer cancelOpen()
	s, err := a.opts.Peers.Open(open, address)
	if err != nil {
		a.opts.Peers.CloseSession(address)
		return "", err
	}
	defer s.Close()
	// When another assigner announces itself, ctx is cancelled; closing the stream then
	// ends the pending read.
	defer context.AfterFunc(ctx, func() { s.Close() })()
	a.mu.Lock()
	a.cancelFollow = cancel
	a.mu.Unlock()
	a.readStoreDirectly()
	if a.opts.Suspects != nil {
		a.opts.Suspects.RepeatChanges(suspectAge)
	}
	go a.sendReports(ctx, s)
	defer func() {
		a.setFollowing("")
		a.readStoreDirectly()
		if err != nil {
			// The session may be dead without an error, so the next stream gets a new one.
			a.opts.Peers.CloseSession(address)
		}
	}()
	for {
		if err := s.SetReadDeadline(time.Now().Add(assignerTimeout)); err != nil {
			return "", errors.Wrap(err, "set deadline on the assigner's stream")
		}
		m, err := s.Recv()
		if err != nil {
			return "", err
		}
		u := m.GetShardUpdate()
		if u == nil {
			continue
		}
		if u.GetNotAssigner() {
			return u.GetAssigner(), errors.Errorf("%s is not the assigner", address)
		}
		a.setFollowing(address)
		a.recordConfirmation(u)
		if !a.applyUpdate(u) {
			return "", errors.Errorf("an update of the assigner at %s was missed", address)
		}
		a.applyFeed(u)
		if ago := time.Duration(u.GetConfirmedMsAgo()) * time.Millisecond; ago > a.opts.RoleLease/2 && a.isChecker(ago) {
			if err := a.checkAssigner(ctx); err != nil {
				return "", err
			}
		}
	}
}

// checkAssigner reads the store. It returns errUnconfirmed if the store answers this
// VM, so that only the assigner is cut off from it, and else nil.
func (a *Agent) checkAssigner(ctx context.Context) error {
	if _, _, err := a.readRoleAndEra(ctx); err != nil {
		return nil //nolint:nilerr // The store does not answer this VM either: the assigner keeps its role.
	}
	return errUnconfirmed
}

// isChecker reports whether it is this VM's turn to check whether the store answers
// VMs other than the assigner, which has been unconfirmed for the given time. The turns
// rotate, since the store may refuse some VMs.
func (a *Agent) isChecker(unconfirmed time.Duration) bool {
	if a.resigned.Load() || a.takeOverDelay() > 0 && unconfirmed < delayedCheckAfter {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	own := slices.Index(a.peers, a.opts.Address)
	if own < 0 {
		return true
	}
	n := len(a.peers)
	first := int(unconfirmed/checkerTurn) * checkerCount % n
	return (own-first+n)%n < checkerCount
}

// readStoreDirectly makes this VM read the store itself until an assigner relays changes.
func (a *Agent) readStoreDirectly() {
	if a.opts.Feed != nil {
		a.opts.Feed.ForgetReader()
	}
}

// applyFeed applies the store changes that the assigner relays.
func (a *Agent) applyFeed(u *pb.ShardUpdate) {
	if a.opts.Feed == nil {
		return
	}
	for _, m := range u.GetFeed() {
		b, err := batchFromProto(m)
		if err != nil {
			a.opts.Logger.Warn("malformed changes of the store; reading them from the store", "prefix", b.Prefix, "at", b.At, "error", err.Error())
		}
		a.opts.Feed.Receive(b)
	}
	confirmedAt := time.Duration(0)
	if sentAt := u.GetReportSentAtMs(); sentAt > 0 {
		// The assigner has this VM's report of that instant.
		a.opts.Feed.ConfirmDelivery(time.Duration(sentAt) * time.Millisecond)
		confirmedAt = time.Duration(sentAt)*time.Millisecond - time.Duration(u.GetFeedAgeMs())*time.Millisecond
	}
	a.opts.Feed.SetReader(u.GetFeedFresh(), confirmedAt)
}

func (a *Agent) setFollowing(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.following != address {
		a.following = address
		if address != "" {
			a.opts.Logger.Info("following the assigner", "address", address)
		} else {
			a.opts.Logger.Info("assigner lost")
		}
	}
}

// recordConfirmation records when the store last confirmed the assigner's role. The
// update's transit time makes the recorded instant later than the actual one.
func (a *Agent) recordConfirmation(u *pb.ShardUpdate) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.othersPreferred = u.GetWilling() > 0
	a.knownTerm = max(a.knownTerm, u.GetTerm())
	a.lastConfirmation = roleConfirmation{
		term: u.GetTerm(), beat: u.GetBeat(),
		confirmedAt: boottime.Now() - time.Duration(u.GetConfirmedMsAgo())*time.Millisecond,
	}
}

// applyUpdate applies an update of the assigner. It returns false if the update is a
// difference to a table that this VM does not have.
func (a *Agent) applyUpdate(u *pb.ShardUpdate) bool {
	for _, m := range u.GetTables() {
		t, ok := tableFromProto(m, a.Table(m.GetService()), boottime.Now())
		if !ok {
			return false
		}
		a.publish(m.GetService(), t)
	}
	a.setVMs(u.GetVms())
	a.mergeSuspects(u.GetSuspects())
	a.notifyTargets(u.GetTargets())
	return true
}

// mergeSuspects adds the requests of another VM that crash targets.
func (a *Agent) mergeSuspects(r *pb.Quarantine) {
	if a.opts.Suspects != nil && r != nil {
		a.opts.Suspects.Merge(r)
	}
}

func (a *Agent) notifyTargets(targets []*pb.TargetState) {
	if a.opts.OnTargets != nil && len(targets) > 0 {
		a.opts.OnTargets(targets)
	}
}

func (a *Agent) setVMs(vms []string) {
	if len(vms) == 0 {
		return
	}
	a.mu.Lock()
	a.peers = vms
	a.mu.Unlock()
	if a.opts.OnVMs != nil {
		a.opts.OnVMs(vms)
	}
}

const (
	// minEarlyInterval is the least time between two reports, and earlyIntervalPerVM the same for each VM: the
	// assigner may have a third of a core for the reports of some hundred VMs.
	minEarlyInterval   = 60 * time.Millisecond
	earlyIntervalPerVM = 1200 * time.Microsecond
)

// earlyReportInterval returns the least time between two reports of a VM, given the number of VMs.
func earlyReportInterval(vms int) time.Duration {
	return max(minEarlyInterval, time.Duration(vms)*earlyIntervalPerVM)
}

// ReportBusyOwner makes this VM report early because the owner of a key, which has the given number of slots, has
// refused a request or was expected to answer too late. The owners of the keys of a hot spot do so before the assigner
// can know of it.
func (a *Agent) ReportBusyOwner(slots int) {
	if slots > fewSlots {
		return
	}
	select {
	case a.soon <- struct{}{}:
	default: // The next report is early already.
	}
}

// takeReportSoon reports whether ReportBusyOwner was called since the last call.
func (a *Agent) takeReportSoon() bool {
	select {
	case <-a.soon:
		return true
	default:
		return false
	}
}

// sendReports sends a report every ReportInterval, or earlier if an owner is busy, until the context ends or the
// stream breaks.
func (a *Agent) sendReports(ctx context.Context, s *peer.Stream) {
	for {
		if err := s.Send(a.report()); err != nil {
			return
		}
		a.mu.Lock()
		earliest := min(earlyReportInterval(len(a.peers)), a.opts.ReportInterval)
		a.mu.Unlock()
		pause(ctx, earliest)
		select {
		case <-ctx.Done():
			return
		case <-a.soon:
		case <-time.After(a.opts.ReportInterval - earliest):
		}
	}
}

func (a *Agent) report() *pb.Envelope {
	r := a.opts.Report()
	r.Address, r.Reluctant = a.opts.Address, a.opts.TakeOverDelay > 0
	r.SentAtMs = uint64(boottime.Now().Milliseconds())
	a.mu.Lock()
	r.Vm, r.KnownTerm = a.opts.VM, a.knownTerm
	a.mu.Unlock()
	if a.opts.Suspects != nil {
		r.Suspects = a.opts.Suspects.TakeChanges()
	}
	if a.opts.Feed != nil {
		for prefix, at := range a.opts.Feed.KnownRevisions() {
			r.Known = append(r.Known, &pb.FeedPosition{Prefix: prefix, At: uint64(at)})
		}
	}
	return &pb.Envelope{Body: &pb.Envelope_ShardReport{ShardReport: r}}
}

// Serve handles a peer's stream. If this VM is the assigner, it registers the peer as a
// follower. Otherwise it answers with the address of the assigner that this VM follows.
// A peer may also announce itself as the assigner, or send the requests that crash targets while there is none. Serve
// is a peer.Handler.
func (a *Agent) Serve(ctx context.Context, s *peer.Stream) {
	if err := s.SetReadDeadline(time.Now().Add(assignerTimeout)); err != nil {
		return
	}
	first, err := s.Recv()
	if err != nil {
		return
	}
	if u := first.GetShardUpdate(); u != nil {
		a.mergeSuspects(u.GetSuspects())
		a.handleAnnouncement(u.GetTerm(), u.GetAssigner())
		return
	}
	a.mu.Lock()
	active, following := a.active, a.following
	a.mu.Unlock()
	if active != nil {
		active.serve(ctx, s, first.GetShardReport())
		return
	}
	// If sending fails, the peer notices it itself.
	_ = s.Send(&pb.Envelope{Body: &pb.Envelope_ShardUpdate{ShardUpdate: &pb.ShardUpdate{
		NotAssigner: true, Assigner: following,
	}}})
}
