package daemon

import (
	"crypto/tls"
	"log/slog"
	"os"

	"github.com/prometheus/client_golang/prometheus"

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
	b := &processBase{
		logger: logger.With("vm", o.process.VM), registry: telemetry.NewRegistry("basiltally-" + o.role),
		hub: relay.NewHub(),
	}
	b.tls, err = peer.LoadTLS(o.peer.TLSCertificateFile, o.peer.TLSKeyFile, o.peer.TLSAuthorityFile)
	if err != nil {
		return nil, err
	}
	b.peers = peer.NewClient(peer.ClientOptions{VM: o.process.VM, Role: o.role, TLS: b.tls})
	b.objects = objectapi.New(objectapi.Options{Address: o.store.Address, Timeout: o.store.Timeout})
	lister := &membership.SeededLister{Platform: b.objects, Client: b.peers, Seeds: o.seeds}
	b.members = membership.New(membership.Options{Lister: lister, Registerer: b.registry})
	b.quarantine = quarantine.New(quarantine.Options{Store: b.objects, Registerer: b.registry, Logger: b.logger})
	claimOptions := o.claim.options(b.objects, o.claimVM, b.registry, b.logger)
	b.claims, err = claim.NewService(claimOptions, claim.NewMetrics(b.registry))
	return b, err
}

// run starts the common components.
func (b *processBase) run(parts *components) {
	parts.run("members", b.members.Run)
	parts.run("claims", b.claims.Run)
	parts.run("quarantine", b.quarantine.Run)
}
