package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/assigner"
	"github.com/basiltally/basiltally/balance"
	"github.com/basiltally/basiltally/bundle"
	"github.com/basiltally/basiltally/claim"
	"github.com/basiltally/basiltally/dispatch"
	"github.com/basiltally/basiltally/frontend"
	"github.com/basiltally/basiltally/hotkey"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/peer"
	"github.com/basiltally/basiltally/pipeline"
	"github.com/basiltally/basiltally/pipeline/admit"
	"github.com/basiltally/basiltally/pipeline/guard"
	"github.com/basiltally/basiltally/pipeline/hedge"
	"github.com/basiltally/basiltally/pipeline/identify"
	"github.com/basiltally/basiltally/pipeline/locate"
	"github.com/basiltally/basiltally/pipeline/measure"
	"github.com/basiltally/basiltally/pipeline/once"
	"github.com/basiltally/basiltally/pipeline/respond"
	"github.com/basiltally/basiltally/pipeline/retry"
	"github.com/basiltally/basiltally/relay"
	"github.com/basiltally/basiltally/target"
	"github.com/basiltally/basiltally/telemetry"
	"github.com/basiltally/basiltally/views"
)

const (
	// keyCountersPerGroup is the number of counters with which a group's most frequent keys
	// are found.
	keyCountersPerGroup = 256
	// keysPerReport is the highest number of keys in the load report of a group.
	keysPerReport = 16
)

// entryProcess holds the components of a basiltally-entry process.
type entryProcess struct {
	*processBase
	settings    *EntrySettings
	views       *views.Holder
	bundles     *bundle.Holder
	claimer     *claim.Router
	keyRecorder *hotkey.Recorder
	selector    *balance.Selector
	dispatcher  *dispatch.Dispatcher
	admission   *admit.Admission
	frontend    *frontend.Frontend
}

// RunEntry runs basiltally-entry until the context ends. It returns when the requests in
// flight are finished or drain_limit is over.
func RunEntry(ctx context.Context, s *EntrySettings) error {
	p, err := newEntryProcess(s)
	if err != nil {
		return err
	}
	return p.run(ctx)
}

func newEntryProcess(s *EntrySettings) (*entryProcess, error) {
	base, err := newProcessBase(baseOptions{
		role: peer.RoleEntry, process: &s.Process, log: s.Log, store: &s.Store, peer: &s.Peer, claim: &s.Claim,
		seeds: []string{s.Entry.AssignAddress},
	})
	if err != nil {
		return nil, err
	}
	p := &entryProcess{
		processBase: base, settings: s, views: views.NewHolder(), keyRecorder: hotkey.NewRecorder(keyCountersPerGroup),
		selector:  balance.NewSelector(balance.SelectorOptions{Region: s.Process.Region}),
		admission: admit.NewAdmission(),
	}
	// Claims go to the assign processes, which batch the claims of many entries. The claim
	// service of this process is the fallback.
	peers := &claimPeers{client: p.peers, members: p.members}
	p.claimer = claim.NewRouter(p.claims, peers, peers)
	p.dispatcher = dispatch.New(dispatch.Options{
		Region: s.Process.Region, Observer: p.selector, Metrics: dispatch.NewMetrics(p.registry),
		LinkBytesPerSecond: s.Entry.LinkBytesPerSecond,
	})
	o := bundleHolderOptions(p.registry, p.logger)
	o.FetchNewest = func(ctx context.Context) ([]byte, error) { return fetchPeerBundle(ctx, p.peers, s.Entry.AssignAddress) }
	if p.bundles, err = newBundleHolder(&s.Bundle, o); err != nil {
		return nil, err
	}
	p.frontend = frontend.New(frontend.Options{
		Address: s.Entry.Listen, Handler: p.handler(), HeaderBytes: s.Entry.MaxHeader,
		HeaderTimeout: s.Entry.HeaderTimeout, StopTimeout: s.Entry.DrainLimit, MaxConnections: callerConnections(p.logger),
	})
	return p, nil
}

// handler returns the chain of filters, in the order in which a request passes them.
func (p *entryProcess) handler() pipeline.Handler {
	return pipeline.Chain(
		p.dispatcher,
		measure.New(measure.NewMetrics(p.registry)),
		respond.New(),
		identify.New(identify.Options{Bundle: bundleForNewRequest(p.bundles)}),
		p.admission.Filter(),
		once.New(once.Options{Claimer: p.claimer}),
		retry.New(retry.Options{Views: p.views}),
		locate.New(locate.Options{Views: p.views, Picker: p.selector, OnKey: p.keyRecorder.Observe}),
		hedge.New(hedge.Options{}),
		guard.New(guard.Options{Tracker: p.quarantine, Health: target.NewClient(target.ClientOptions{})}),
	)
}

func (p *entryProcess) run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	parts := newComponents(work, p.logger)
	parts.run("views", p.follower().Run)
	parts.run("view updates", p.applyUpdates)
	parts.run("dispatcher", p.dispatcher.Run)
	parts.run("bundles", p.bundles.Run)
	p.processBase.run(parts)
	parts.run("claimer", p.claimer.Run)
	parts.run("key reports", p.reportKeys)
	parts.run("telemetry", func(ctx context.Context) error {
		return telemetry.Serve(ctx, telemetry.Options{Settings: p.settings.Telemetry, Gatherer: p.registry, Ready: p.ready, Logger: p.logger})
	})
	p.logger.Info("started", "address", p.settings.Entry.Listen)
	serving, stopServing := parts.whileAllRun(ctx)
	defer stopServing()
	err := p.frontend.Run(serving)
	p.logger.Info("stopped")
	stopWork()
	return firstError(err, parts.wait())
}

// follower returns the client that receives views and bundles from the assign process of
// the same VM.
func (p *entryProcess) follower() *relay.Follower {
	parent := []string{p.settings.Entry.AssignAddress}
	return &relay.Follower{
		Hub: p.hub, Client: p.peers, AcceptBundle: acceptFromPeer(p.bundles),
		ParentAddresses: func() []string { return parent },
	}
}

// applyUpdates passes the views that the hub receives to the request path.
func (p *entryProcess) applyUpdates(ctx context.Context) error {
	sub := p.hub.Subscribe(nil)
	defer sub.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-sub.Ready():
		}
		sub.Discard()
		for _, v := range p.hub.Views() {
			p.views.Apply(v)
		}
	}
}

// reportKeys reports the most requested keys to the assign process every
// assigner.LoadReportInterval.
func (p *entryProcess) reportKeys(ctx context.Context) error {
	ticker := time.NewTicker(assigner.LoadReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, load := range p.keyRecorder.Take(keysPerReport) {
			p.sendLoad(ctx, load)
		}
	}
}

// sendLoad sends the load report of one group. A lost report is not sent again, since the
// next one takes its place.
func (p *entryProcess) sendLoad(ctx context.Context, load hotkey.Load) {
	ctx, cancel := context.WithTimeout(ctx, assigner.LoadReportInterval)
	defer cancel()
	m := &pb.Envelope{Body: &pb.Envelope_KeyLoad{KeyLoad: assigner.LoadToProto(load)}}
	if _, err := p.peers.Call(ctx, p.settings.Entry.AssignAddress, m); err != nil {
		p.logger.Debug("load report not sent", "group", load.Group, "error", err)
	}
}

// ready returns nil if the entry may serve: no stop has begun, a bundle may be used and
// every group of the bundle has a view. Otherwise it returns what is missing.
func (p *entryProcess) ready() error {
	if p.frontend.Stopping() {
		return errors.New("the process is stopping")
	}
	inForce, err := p.bundles.ForNewRequest()
	if err != nil {
		return err
	}
	for _, pool := range inForce.Bundle.Pools {
		for _, id := range pool.Groups {
			if p.views.Get(id) == nil {
				return errors.Errorf("no view of group %s has arrived", id)
			}
		}
	}
	return nil
}
