package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/assign"
	"github.com/basiltally/basiltally/assigner"
	"github.com/basiltally/basiltally/bundle"
	"github.com/basiltally/basiltally/claim"
	"github.com/basiltally/basiltally/membership"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/peer"
	"github.com/basiltally/basiltally/relay"
	"github.com/basiltally/basiltally/target"
	"github.com/basiltally/basiltally/telemetry"
)

const (
	// assignDrainLimit is the longest time for handing the groups over at a planned stop.
	assignDrainLimit = 10 * time.Second
	// claimServeTimeout is the longest time for serving one claim call of another process.
	claimServeTimeout = 2 * claim.DefaultCallTimeout
)

// assignProcess holds the components of a basiltally-assign process.
type assignProcess struct {
	*processBase
	settings *AssignSettings
	server   *peer.Server
	assigner *assigner.Assigner
	bundles  *bundle.Holder
	tree     *relay.Tree
}

// RunAssign runs basiltally-assign until the context ends or a component fails. It
// then hands its groups over to other VMs and returns the error of the component.
func RunAssign(ctx context.Context, s *AssignSettings) error {
	p, err := newAssignProcess(s)
	if err != nil {
		return err
	}
	return p.run(ctx)
}

func newAssignProcess(s *AssignSettings) (*assignProcess, error) {
	base, err := newProcessBase(baseOptions{
		role: peer.RoleAssign, process: &s.Process, log: s.Log, store: &s.Store, peer: &s.Peer, claim: &s.Claim,
		seeds: s.Peer.Seeds, claimVM: s.Process.VM,
	})
	if err != nil {
		return nil, err
	}
	p := &assignProcess{processBase: base, settings: s}
	o := bundleHolderOptions(p.registry, p.logger)
	o.FetchNewest = p.fetchNewestBundle
	if p.bundles, err = newBundleHolder(&s.Bundle, o); err != nil {
		return nil, err
	}
	p.tree = p.newTree()
	p.assigner = assigner.New(assigner.Options{
		Self: ownership.VMID(s.Process.VM), Incarnation: newIncarnation(), Core: coreOptions(&s.Assign),
		GroupSlots: uint32(s.Assign.GroupSlots), CandidateCount: s.Assign.Candidates,
		Store: p.objects, Targets: target.NewClient(target.ClientOptions{}), Peers: p.peers, Members: p.members, Hub: p.hub,
		Logger: p.logger, Registerer: p.registry,
	})
	p.server, err = peer.Listen(peer.ServerOptions{Address: s.Peer.Listen, TLS: p.tls, Handler: p.serve, Logger: p.logger})
	return p, err
}

func coreOptions(s *Assign) assign.Options {
	return assign.Options{
		Support: s.Support, Heartbeat: s.Heartbeat, Lease: s.Lease,
		LostAfter: s.LostAfter, RequestDeadline: s.RequestDeadline, HotShare: s.HotShare,
	}
}

// newIncarnation returns a random number that identifies one start of a process.
func newIncarnation() uint64 {
	var b [8]byte
	rand.Read(b[:]) // rand.Read never returns an error.
	return binary.BigEndian.Uint64(b[:])
}

func (p *assignProcess) run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	parts := newComponents(work, p.logger)
	parts.run("peers", p.server.Run)
	p.processBase.run(parts)
	parts.run("assigner", p.assigner.Run)
	parts.run("relay tree", p.tree.Run)
	parts.run("records", func(ctx context.Context) error { return p.tree.RunWhileRoot(ctx, p.assigner.FollowRecords) })
	parts.run("bundle takeover", func(ctx context.Context) error { return p.tree.RunWhileRoot(ctx, p.syncBundles) })
	parts.run("bundles", p.bundles.Run)
	parts.run("bundle updates", func(ctx context.Context) error { return watchBundles(ctx, p.bundles, p.applyBundle) })
	parts.run("telemetry", func(ctx context.Context) error { return telemetry.Serve(ctx, p.telemetryOptions()) })
	p.logger.Info("started", "peer_address", p.server.Addr())
	select {
	case <-ctx.Done():
	case <-parts.ctx.Done():
	}
	p.drain()
	stopWork()
	return parts.wait()
}

func (p *assignProcess) drain() {
	limit, cancel := context.WithTimeout(context.Background(), assignDrainLimit)
	defer cancel()
	p.logger.Info("stopping: handing groups over")
	p.assigner.Drain(limit)
	p.logger.Info("stopped")
}

func firstError(list ...error) error {
	for _, err := range list {
		if err != nil {
			return err
		}
	}
	return nil
}

// applyBundle passes a bundle that came into force to the peers and to the assigner.
func (p *assignProcess) applyBundle(inForce *bundle.InForce) {
	if inForce.Signed != nil {
		p.hub.PublishBundle(&pb.Bundle{Version: inForce.Bundle.Version, Document: inForce.Signed.Encode()})
	}
	p.assigner.Apply(inForce.Bundle)
}

// syncBundles takes over each bundle that the store names as accepted, until the context
// ends. Without approvers_dir it does nothing: only the local document is used then.
func (p *assignProcess) syncBundles(ctx context.Context) error {
	s := &p.settings.Bundle
	if s.ApproversDir == "" {
		<-ctx.Done()
		return nil
	}
	policy, err := bundle.LoadPolicy(s.ApproversDir, s.Approvers, s.Approvals)
	if err != nil {
		return err
	}
	syncer := &bundle.Syncer{Store: p.objects, Holder: p.bundles, Policy: policy, VM: p.settings.Process.VM}
	return syncer.Run(ctx)
}

// fetchNewestBundle returns the bundle that is accepted now, or nil if there is none. It is
// called after the process was frozen. It reads the store or, while the store does not
// answer, asks the other VMs; if none of them answers, it returns the store's error.
func (p *assignProcess) fetchNewestBundle(ctx context.Context) ([]byte, error) {
	encoded, err := fetchStoredBundle(ctx, p.objects)
	if err == nil {
		return encoded, nil
	}
	for _, vm := range p.members.Snapshot().VMs {
		if vm.ID == p.settings.Process.VM {
			continue
		}
		if encoded, peerErr := fetchPeerBundle(ctx, p.peers, vm.Address); peerErr == nil {
			return encoded, nil
		}
	}
	return nil, err
}

func (p *assignProcess) telemetryOptions() telemetry.Options {
	return telemetry.Options{Settings: p.settings.Telemetry, Gatherer: p.registry, Ready: p.ready, Handlers: p.operatorHandlers()}
}

func (p *assignProcess) ready() error {
	if p.bundles.InForce() == nil {
		return errors.New("no configuration bundle is in force")
	}
	if len(p.hub.Views()) == 0 {
		return errors.New("no ownership view has arrived")
	}
	return nil
}

// serve handles a peer's stream according to its first message.
func (p *assignProcess) serve(ctx context.Context, s *peer.Stream) {
	first, err := s.Recv()
	if err != nil {
		return
	}
	if sub := first.GetSubscribe(); sub != nil {
		if err := p.hub.Serve(ctx, s, sub); err != nil {
			p.logger.Debug("subscription ended", "peer", s.RemoteHello.GetVm(), "error", err)
		}
		return
	}
	if first.GetClaimCall() != nil {
		p.serveClaims(ctx, s, first)
		return
	}
	p.assigner.Serve(ctx, s, first)
}

func (p *assignProcess) serveClaims(ctx context.Context, s *peer.Stream, m *pb.Envelope) {
	ctx, cancel := context.WithTimeout(ctx, claimServeTimeout)
	defer cancel()
	reply := p.claims.Serve(ctx, m.GetClaimCall())
	if err := s.Send(&pb.Envelope{Body: &pb.Envelope_ClaimReply{ClaimReply: reply}}); err != nil {
		p.logger.Debug("claim reply not sent", "peer", s.RemoteHello.GetVm(), "error", err)
	}
}

// newTree returns the relay tree that brings views and bundles from other VMs to the hub.
func (p *assignProcess) newTree() *relay.Tree {
	return &relay.Tree{
		Hub: p.hub, Client: p.peers, Self: p.settings.Process.VM, AcceptBundle: acceptFromPeer(p.bundles),
		Sources: func() []string { return p.assigner.ViewSources() },
		Members: func() []relay.Member { return relayMembers(p.members.Snapshot()) },
	}
}

func relayMembers(s *membership.Snapshot) []relay.Member {
	out := make([]relay.Member, len(s.VMs))
	for i, vm := range s.VMs {
		out[i] = relay.Member{ID: vm.ID, Address: vm.Address, DataCentre: vm.DataCentre}
	}
	return out
}
