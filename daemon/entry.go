package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

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
	"github.com/basiltally/basiltally/pipeline/account"
	"github.com/basiltally/basiltally/pipeline/admit"
	"github.com/basiltally/basiltally/pipeline/guard"
	"github.com/basiltally/basiltally/pipeline/hedge"
	"github.com/basiltally/basiltally/pipeline/identify"
	"github.com/basiltally/basiltally/pipeline/locate"
	"github.com/basiltally/basiltally/pipeline/once"
	answers "github.com/basiltally/basiltally/pipeline/relay"
	"github.com/basiltally/basiltally/pipeline/retry"
	"github.com/basiltally/basiltally/relay"
	"github.com/basiltally/basiltally/target"
	"github.com/basiltally/basiltally/telemetry"
	"github.com/basiltally/basiltally/views"
)

const (
	// keyCounters is the number of counters of frequent keys for each group.
	keyCounters = 256
	// keysReported is the number of keys in a report.
	keysReported = 16
)

// entryProcess is the wiring of basiltally-entry.
type entryProcess struct {
	*node
	settings   *EntrySettings
	views      *views.Holder
	bundles    *bundle.Holder
	claimer    *claim.Router
	keys       *hotkey.Recorder
	selector   *balance.Selector
	dispatcher *dispatch.Dispatcher
	admission  *admit.Admission
	frontend   *frontend.Frontend
}

// RunEntry runs basiltally-entry until the context ends and the requests in
// flight are finished.
func RunEntry(ctx context.Context, s *EntrySettings) error {
	p, err := newEntryProcess(s)
	if err != nil {
		return err
	}
	return p.run(ctx)
}

func newEntryProcess(s *EntrySettings) (*entryProcess, error) {
	n, err := newNode(nodeOptions{
		role: peer.RoleEntry, process: &s.Process, log: s.Log, store: &s.Store, peer: &s.Peer, claim: &s.Claim,
		seeds: []string{s.Entry.AssignAddress},
	})
	if err != nil {
		return nil, err
	}
	p := &entryProcess{
		node: n, settings: s, views: views.NewHolder(), keys: hotkey.NewRecorder(keyCounters),
		selector:  balance.NewSelector(balance.SelectorOptions{Region: s.Process.Region}),
		admission: admit.NewAdmission(),
	}
	// Claims go to the assign processes, which batch those of many entries; the
	// service of this process is the fallback.
	peers := &claimPeers{client: p.peers, members: p.members}
	p.claimer = claim.NewRouter(p.claims, peers, peers)
	p.dispatcher = dispatch.New(dispatch.Options{
		Region: s.Process.Region, Observer: p.selector, Metrics: dispatch.NewMetrics(p.registry),
		LinkBytesPerSecond: s.Entry.LinkBytesPerSecond,
	})
	o := holderOptions(p.registry, p.logger)
	o.FetchNewest = func(ctx context.Context) ([]byte, error) { return askPeer(ctx, p.peers, s.Entry.AssignAddress) }
	if p.bundles, err = newBundleHolder(&s.Bundle, o); err != nil {
		return nil, err
	}
	p.frontend = frontend.New(frontend.Options{
		Address: s.Entry.Listen, Handler: p.handler(), HeaderBytes: s.Entry.MaxHeader,
		HeaderTimeout: s.Entry.HeaderTimeout, StopTimeout: s.Entry.DrainLimit,
	})
	return p, nil
}

// handler chains the filters in the order in which a request passes them.
func (p *entryProcess) handler() pipeline.Handler {
	return pipeline.Chain(
		p.dispatcher,
		account.New(account.NewMetrics(p.registry)),
		answers.New(),
		identify.New(identify.Options{Bundle: servingBundle(p.bundles)}),
		p.admission.Filter(),
		once.New(once.Options{Claimer: p.claimer}),
		retry.New(retry.Options{Views: p.views}),
		locate.New(locate.Options{Views: p.views, Picker: p.selector, OnKey: p.keys.Observe}),
		hedge.New(hedge.Options{}),
		guard.New(guard.Options{Tracker: p.quarantine, Health: target.NewClient(target.ClientOptions{})}),
	)
}

func (p *entryProcess) run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	g, work := errgroup.WithContext(work)
	g.Go(func() error { return p.follower().Run(work) })
	g.Go(func() error { return p.applyUpdates(work) })
	g.Go(func() error { return p.dispatcher.Run(work) })
	g.Go(func() error { return p.bundles.Run(work) })
	p.node.run(work, g)
	g.Go(func() error { return p.claimer.Run(work) })
	g.Go(func() error { return p.reportKeys(work) })
	g.Go(func() error {
		return telemetry.Serve(work, telemetry.Options{Settings: p.settings.Telemetry, Gatherer: p.registry, Ready: p.ready})
	})
	p.logger.Info("started", "address", p.settings.Entry.Listen)
	err := p.frontend.Run(ctx)
	p.logger.Info("stopped")
	stopWork()
	return firstError(err, g.Wait())
}

// follower receives views and bundles from the assign process of the same VM.
func (p *entryProcess) follower() *relay.Follower {
	parent := []string{p.settings.Entry.AssignAddress}
	return &relay.Follower{
		Hub: p.hub, Client: p.peers, AcceptBundle: offer(p.bundles),
		ParentAddresses: func() []string { return parent },
	}
}

// applyUpdates moves what the hub receives into the request path.
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

// reportKeys tells the assign process each second which keys are requested most.
func (p *entryProcess) reportKeys(ctx context.Context) error {
	ticker := time.NewTicker(assigner.LoadReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, load := range p.keys.Take(keysReported) {
			p.sendLoad(ctx, load)
		}
	}
}

// sendLoad sends one report; a lost one is made up for by the next.
func (p *entryProcess) sendLoad(ctx context.Context, load hotkey.Load) {
	ctx, cancel := context.WithTimeout(ctx, assigner.LoadReportInterval)
	defer cancel()
	m := &pb.Envelope{Body: &pb.Envelope_KeyLoad{KeyLoad: assigner.LoadToProto(load)}}
	if _, err := p.peers.Call(ctx, p.settings.Entry.AssignAddress, m); err != nil {
		p.logger.Debug("load report not sent", "group", load.Group, "error", err)
	}
}

// ready reports whether the entry may serve: no stop has begun and every group
// of the bundle has a view.
func (p *entryProcess) ready() error {
	if p.frontend.Stopping() {
		return errors.New("the process is stopping")
	}
	held, err := p.bundles.ForNewRequest()
	if err != nil {
		return err
	}
	for _, pool := range held.Bundle.Pools {
		for _, id := range pool.Groups {
			if p.views.Get(id) == nil {
				return errors.Errorf("no view of group %s has arrived", id)
			}
		}
	}
	return nil
}
