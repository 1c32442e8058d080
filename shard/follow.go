package shard

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/boottime"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/peer"
)

// errUnconfirmed reports that the store has not confirmed the assigner for long.
var errUnconfirmed = errors.New("shard: the store does not confirm the assigner")

// follow reports to the assigner at the address and takes its updates until it
// falls silent. A VM that is not the assigner names the one it follows, which is
// followed instead.
func (a *Agent) follow(ctx context.Context, address string) error {
	next, err := a.followOne(ctx, address)
	if next != "" && next != address && next != a.opts.Address {
		_, err = a.followOne(ctx, next)
	}
	return err
}

func (a *Agent) followOne(ctx context.Context, address string) (redirect string, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	open, cancelOpen := context.WithTimeout(ctx, silence)
	defer cancelOpen()
	s, err := a.opts.Peers.Open(open, address)
	if err != nil {
		a.opts.Peers.CloseSession(address)
		return "", err
	}
	defer s.Close()
	// An announcement of another assigner ends the wait for this one.
	defer context.AfterFunc(ctx, func() { s.Close() })()
	a.mu.Lock()
	a.leave = cancel
	a.mu.Unlock()
	a.beginFeed()
	go a.sendReports(ctx, s)
	defer func() {
		a.setFollowing("")
		a.beginFeed()
		if err != nil {
			// The session may have gone silent; the next one starts afresh.
			a.opts.Peers.CloseSession(address)
		}
	}()
	for {
		if err := s.SetReadDeadline(time.Now().Add(silence)); err != nil {
			return "", errors.Wrap(err, "assigner's stream")
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
		a.hear(u)
		if !a.take(u) {
			return "", errors.Errorf("an update of %s was missed", address)
		}
		a.takeFeed(u)
		if ago := time.Duration(u.GetConfirmedMsAgo()) * time.Millisecond; ago > a.opts.RoleLease/2 && a.isChecker(ago) {
			if err := a.checkAssigner(ctx); err != nil {
				return "", err
			}
		}
	}
}

// checkAssigner looks whether the store answers this VM while it does not answer
// the assigner.
func (a *Agent) checkAssigner(ctx context.Context) error {
	if _, _, err := readRole(ctx, a.opts.Store); err != nil {
		return nil //nolint:nilerr // The store is away for this VM too: the assigner goes on.
	}
	return errUnconfirmed
}

// isChecker reports whether it is this VM's turn to look whether the store answers
// others than the assigner. The turns go round, since it may refuse some VMs.
func (a *Agent) isChecker(unconfirmed time.Duration) bool {
	if a.resigned.Load() || a.reluctance() > 0 && unconfirmed < reluctantCheck {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	own := slices.Index(a.peers, a.opts.Address)
	if own < 0 {
		return true
	}
	n := len(a.peers)
	first := int(unconfirmed/checkTurn) * checkers % n
	return (own-first+n)%n < checkers
}

// beginFeed makes this VM read the store itself until an assigner's changes come.
func (a *Agent) beginFeed() {
	if a.opts.Feed != nil {
		a.opts.Feed.ForgetReader()
	}
}

// takeFeed takes the changes of the store that the assigner passes on.
func (a *Agent) takeFeed(u *pb.ShardUpdate) {
	if a.opts.Feed == nil {
		return
	}
	for _, m := range u.GetFeed() {
		a.opts.Feed.Receive(batchFromProto(m))
	}
	a.opts.Feed.SetReaderUsable(u.GetFeedFresh())
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

// hear notes when the store last confirmed the assigner. The time on the way makes
// the instant later than it was.
func (a *Agent) hear(u *pb.ShardUpdate) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.othersWilling = u.GetWilling() > 0
	a.heard = heard{
		term: u.GetTerm(), beat: u.GetBeat(),
		confirmedAt: boottime.Now() - time.Duration(u.GetConfirmedMsAgo())*time.Millisecond,
	}
}

// take applies an update of the assigner. It returns false if the update builds on
// a table that is not known here.
func (a *Agent) take(u *pb.ShardUpdate) bool {
	for _, m := range u.GetTables() {
		t, ok := tableFromProto(m, a.Table(m.GetService()))
		if !ok {
			return false
		}
		a.publish(m.GetService(), t)
	}
	a.takeVMs(u.GetVms())
	a.learn(u.GetTargets())
	return true
}

func (a *Agent) learn(targets []*pb.TargetState) {
	if a.opts.OnTargets != nil && len(targets) > 0 {
		a.opts.OnTargets(targets)
	}
}

func (a *Agent) takeVMs(vms []string) {
	if len(vms) == 0 {
		return
	}
	a.mu.Lock()
	a.peers = vms
	a.mu.Unlock()
	if a.opts.OnVMs != nil {
		a.opts.OnVMs(len(vms))
	}
}

// sendReports reports at intervals until the context ends or the stream breaks.
func (a *Agent) sendReports(ctx context.Context, s *peer.Stream) {
	for {
		if err := s.Send(a.report()); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(a.opts.ReportInterval):
		}
	}
}

func (a *Agent) report() *pb.Envelope {
	r := a.opts.Report()
	r.Address, r.Reluctant = a.opts.Address, a.opts.TakeOverDelay > 0
	if a.opts.Feed != nil {
		for prefix, at := range a.opts.Feed.KnownRevisions() {
			r.Known = append(r.Known, &pb.FeedPosition{Prefix: prefix, At: uint64(at)})
		}
	}
	return &pb.Envelope{Body: &pb.Envelope_ShardReport{ShardReport: r}}
}

// Serve answers a peer: as the assigner, or with the address of the one that
// this VM follows. It is a peer.Handler.
func (a *Agent) Serve(ctx context.Context, s *peer.Stream) {
	if err := s.SetReadDeadline(time.Now().Add(silence)); err != nil {
		return
	}
	first, err := s.Recv()
	if err != nil {
		return
	}
	if u := first.GetShardUpdate(); u != nil {
		a.heed(u.GetTerm(), u.GetAssigner())
		return
	}
	a.mu.Lock()
	l, following := a.leading, a.following
	a.mu.Unlock()
	if l != nil {
		l.serve(ctx, s, first.GetShardReport())
		return
	}
	// A failure to send is seen by the peer.
	_ = s.Send(&pb.Envelope{Body: &pb.Envelope_ShardUpdate{ShardUpdate: &pb.ShardUpdate{
		NotAssigner: true, Assigner: following,
	}}})
}
