package daemon

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"log/slog"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/basiltally/basiltally/assign"
	"github.com/basiltally/basiltally/assigner"
	"github.com/basiltally/basiltally/config"
	"github.com/basiltally/basiltally/membership"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/peer"
	"github.com/basiltally/basiltally/relay"
	"github.com/basiltally/basiltally/store/objectapi"
	"github.com/basiltally/basiltally/target"
	"github.com/basiltally/basiltally/telemetry"
)

const (
	// assignDrainLimit bounds the hand-over of groups at a planned stop.
	assignDrainLimit = 10 * time.Second
)

// assignProcess is the wiring of basiltally-assign.
type assignProcess struct {
	settings *AssignSettings
	logger   *slog.Logger
	registry *prometheus.Registry
	members  *membership.List
	hub      *relay.Hub
	peers    *peer.Client
	server   *peer.Server
	assigner *assigner.Assigner
}

// RunAssign runs basiltally-assign until the context ends, then hands its
// groups over and returns.
func RunAssign(ctx context.Context, s *AssignSettings) error {
	p, err := newAssignProcess(s)
	if err != nil {
		return err
	}
	return p.run(ctx)
}

func newAssignProcess(s *AssignSettings) (*assignProcess, error) {
	logger, err := telemetry.NewLogger(os.Stderr, s.Log)
	if err != nil {
		return nil, err
	}
	tlsConfig, err := peer.LoadTLS(s.Peer.TLSCertificateFile, s.Peer.TLSKeyFile, s.Peer.TLSAuthorityFile)
	if err != nil {
		return nil, err
	}
	p := &assignProcess{
		settings: s, logger: logger.With("vm", s.Process.VM), registry: telemetry.NewRegistry("basiltally-assign"),
		hub:   relay.NewHub(),
		peers: peer.NewClient(peer.ClientOptions{VM: s.Process.VM, Role: "assign", TLS: tlsConfig}),
	}
	objects := objectapi.New(objectapi.Options{Address: s.Store.Address, Timeout: s.Store.Timeout})
	p.members = membership.New(membership.Options{Lister: objects, Registerer: p.registry})
	p.assigner = assigner.New(assigner.Options{
		Self: ownership.VMID(s.Process.VM), Incarnation: newIncarnation(), Core: coreOptions(&s.Assign),
		GroupSlots: uint32(s.Assign.GroupSlots), Candidates: s.Assign.Candidates,
		Store: objects, Targets: target.NewClient(target.ClientOptions{}), Peers: p.peers, Members: p.members, Hub: p.hub,
		Logger: p.logger, Registerer: p.registry,
	})
	p.server, err = p.listen(tlsConfig)
	return p, err
}

func (p *assignProcess) listen(tlsConfig *tls.Config) (*peer.Server, error) {
	return peer.Listen(peer.ServerOptions{Address: p.settings.Peer.Listen, TLS: tlsConfig, Handler: p.serve})
}

func coreOptions(s *Assign) assign.Options {
	return assign.Options{
		Support: s.Support, Heartbeat: s.Heartbeat, Lease: s.Lease,
		LostAfter: s.LostAfter, RequestDeadline: s.RequestDeadline,
	}
}

// newIncarnation identifies one start of a process.
func newIncarnation() uint64 {
	var b [8]byte
	rand.Read(b[:]) // Never fails.
	return binary.BigEndian.Uint64(b[:])
}

func (p *assignProcess) run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	g, work := errgroup.WithContext(work)
	g.Go(func() error { return p.server.Run(work) })
	g.Go(func() error { return p.members.Run(work) })
	g.Go(func() error { return p.assigner.Run(work) })
	g.Go(func() error { return p.follower().Run(work) })
	g.Go(func() error { return telemetry.Serve(work, p.telemetryOptions()) })
	if err := p.applyInitialBundle(); err != nil {
		stopWork()
		return errors.Wrap(firstError(err, g.Wait()), "start")
	}
	p.logger.Info("started", "peer_address", p.server.Addr())
	select {
	case <-ctx.Done():
	case <-work.Done():
	}
	p.drain()
	stopWork()
	return g.Wait()
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

// applyInitialBundle loads the bundle document named in the settings.
func (p *assignProcess) applyInitialBundle() error {
	if p.settings.Bundle.File == "" {
		return nil
	}
	document, err := os.ReadFile(p.settings.Bundle.File)
	if err != nil {
		return errors.Wrap(err, "bundle")
	}
	b, err := config.Parse(p.settings.Bundle.File, document)
	if err != nil {
		return err
	}
	p.hub.PublishBundle(&pb.Bundle{Version: b.Version, Document: document})
	p.assigner.Apply(b)
	return nil
}

func (p *assignProcess) telemetryOptions() telemetry.Options {
	return telemetry.Options{Settings: p.settings.Telemetry, Gatherer: p.registry, Ready: p.ready, Handlers: p.operatorHandlers()}
}

func (p *assignProcess) ready() error {
	if p.hub.Bundle() == nil {
		return errors.New("no configuration bundle is in force")
	}
	if len(p.hub.Views()) == 0 {
		return errors.New("no ownership view has arrived")
	}
	return nil
}

// serve dispatches a peer's stream by its first message.
func (p *assignProcess) serve(ctx context.Context, s *peer.Stream) {
	first, err := s.Recv()
	if err != nil {
		return
	}
	if sub := first.GetSubscribe(); sub != nil {
		if err := p.hub.Serve(ctx, s, sub); err != nil {
			p.logger.Debug("subscriber left", "peer", s.Remote.GetVm(), "error", err)
		}
		return
	}
	p.assigner.Serve(ctx, s, first)
}

// follower keeps the hub up to date from the VM's place in the relay tree.
func (p *assignProcess) follower() *relay.Tree {
	return &relay.Tree{
		Hub: p.hub, Client: p.peers, Self: p.settings.Process.VM,
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
