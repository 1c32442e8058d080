package daemon

import (
	"context"
	"crypto/tls"
	"log/slog"
	"os"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/basiltally/basiltally/claim"
	"github.com/basiltally/basiltally/membership"
	"github.com/basiltally/basiltally/peer"
	"github.com/basiltally/basiltally/quarantine"
	"github.com/basiltally/basiltally/relay"
	"github.com/basiltally/basiltally/store/objectapi"
	"github.com/basiltally/basiltally/telemetry"
)

// node is what the processes of a VM have in common: log and metrics, links to
// peers, and what shares state through the object API.
type processBase struct {
	logger     *slog.Logger
	registry   *prometheus.Registry
	tls        *tls.Config
	hub        *relay.Hub
	peers      *peer.Client
	objects    *objectapi.Client
	members    *membership.List
	quarantine *quarantine.Tracker
	claims     *claim.Service
}

// nodeOptions are the settings that a node is built from.
type baseOptions struct {
	role    string
	process *Process
	log     telemetry.LogSettings
	store   *Store
	peer    *Peer
	claim   *Claim
	// seeds are asked for the VM list while the platform does not give it.
	seeds []string
	// claimVM is the name under which this process batches claims; empty if
	// other VMs do not call it.
	claimVM string
}

func newProcessBase(o baseOptions) (*processBase, error) {
	logger, err := telemetry.NewLogger(os.Stderr, o.log)
	if err != nil {
		return nil, err
	}
	n := &processBase{
		logger: logger.With("vm", o.process.VM), registry: telemetry.NewRegistry("basiltally-" + o.role),
		hub: relay.NewHub(),
	}
	n.tls, err = peer.LoadTLS(o.peer.TLSCertificateFile, o.peer.TLSKeyFile, o.peer.TLSAuthorityFile)
	if err != nil {
		return nil, err
	}
	n.peers = peer.NewClient(peer.ClientOptions{VM: o.process.VM, Role: o.role, TLS: n.tls})
	n.objects = objectapi.New(objectapi.Options{Address: o.store.Address, Timeout: o.store.Timeout})
	lister := &membership.SeededLister{Platform: n.objects, Client: n.peers, Seeds: o.seeds}
	n.members = membership.New(membership.Options{Lister: lister, Registerer: n.registry})
	n.quarantine = quarantine.New(quarantine.Options{Store: n.objects, Registerer: n.registry, Logger: n.logger})
	claimOptions := o.claim.options(n.objects, o.claimVM, n.registry, n.logger)
	n.claims, err = claim.NewService(claimOptions, claim.NewMetrics(n.registry))
	return n, err
}

// run starts the parts of the node in the group.
func (n *processBase) run(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error { return n.members.Run(ctx) })
	g.Go(func() error { return n.claims.Run(ctx) })
	g.Go(func() error { return n.quarantine.Run(ctx) })
}
