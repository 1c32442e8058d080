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

// processBase holds the components that basiltally-assign and basiltally-entry have in
// common: log, metrics, connections to peers, and the clients of the object API.
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

// baseOptions are the settings from which a processBase is built.
type baseOptions struct {
	role    string
	process *Process
	log     telemetry.LogSettings
	store   *Store
	peer    *Peer
	claim   *Claim
	// seeds are the peer addresses that are asked for the VM list while the object API
	// does not return it.
	seeds []string
	// claimVM is the VM name under which this process batches the claims of other VMs; empty
	// if other VMs send it no claims.
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

// run starts the common components as goroutines of g.
func (n *processBase) run(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error { return n.members.Run(ctx) })
	g.Go(func() error { return n.claims.Run(ctx) })
	g.Go(func() error { return n.quarantine.Run(ctx) })
}
