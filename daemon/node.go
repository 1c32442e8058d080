package daemon

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/bodies"
	"github.com/basiltally/basiltally/boottime"
	"github.com/basiltally/basiltally/budget"
	"github.com/basiltally/basiltally/eligibility"
	"github.com/basiltally/basiltally/evacuation"
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/gateway"
	"github.com/basiltally/basiltally/ingress"
	"github.com/basiltally/basiltally/peer"
	"github.com/basiltally/basiltally/placing"
	"github.com/basiltally/basiltally/platform"
	"github.com/basiltally/basiltally/routing"
	"github.com/basiltally/basiltally/shard"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/follow"
	"github.com/basiltally/basiltally/store/relayfeed"
	"github.com/basiltally/basiltally/telemetry"
	"github.com/basiltally/basiltally/upstream"
	"github.com/basiltally/basiltally/warmup"
)

const (
	// stopMargin is how long before the platform's limit requests still running are cut off.
	stopMargin = 300 * time.Millisecond
	// expireInterval is the interval at which expire looks for what has expired.
	expireInterval = 100 * time.Millisecond
	// memoryShare is the share of the VM's memory that is set as the garbage collector's
	// memory limit.
	memoryShare = 0.7
	// bodyShare is the share of the VM's memory that the bodies of requests and answers may take.
	bodyShare = 0.2
	// connectionShare is the share of the VM's memory that the connections of callers may take. The descriptors of a process
	// allow 15,000 of them, which take 360 MB.
	connectionShare = 0.25
	// configSettle is the pause after a change of the configuration in which further
	// changes are collected. A configuration must be in force within 2 s.
	configSettle = 200 * time.Millisecond
	// targetSettle is the same for the targets' entries. A leaving target must get no new
	// requests after 2 s.
	targetSettle = 500 * time.Millisecond
	// evacuationSettle is the same for the entries of evacuations. Operators write few of them.
	evacuationSettle = 100 * time.Millisecond
	// firstReaderWait is how long a VM that starts waits for the assigner to relay changes before it
	// polls the store. A configuration must be in force within 2 s.
	firstReaderWait = 1500 * time.Millisecond
	// longLeaseShare is the duration, as a share of hold_max, of the leases that are used
	// while the store does not answer. A target would refuse a lease above its limit.
	longLeaseShare = 0.95
	// minAssignerLinkMbps is the bandwidth in Mbit/s that the assigner needs to send the
	// states of all targets to some hundred VMs, at 15 KB/s for each VM, and to relay changes
	// of the store beside that.
	minAssignerLinkMbps = 100
	// minAssignerCPU is the number of cores that the assigner needs to handle the reports of some
	// hundred VMs, four a second each, and to plan at a hot spot.
	minAssignerCPU = 0.3
	// smallVMTakeOverDelay is how much longer a VM waits before it takes over the assigner's role that
	// has less than minAssignerLinkMbps or minAssignerCPU. It covers the 300 ms within which the VMs
	// start, and the take-over by another VM.
	smallVMTakeOverDelay = 800 * time.Millisecond
	// roleNode is the role under which the process connects to its peers.
	roleNode = "node"
)

// nodeProcess holds the components of a basiltally-node process.
type nodeProcess struct {
	settings  atomic.Pointer[NodeSettings]
	logger    *slog.Logger
	registry  *prometheus.Registry
	objects   *platform.ObjectStore
	feed      *relayfeed.Feed
	directory *fleet.Directory
	routes    atomic.Pointer[routing.Table]
	// evacuations has the data centres that are being evacuated. It is nil if the setting evacuate is off.
	evacuations *evacuation.Set
	// stalls is nil if the setting evacuate is off.
	stalls *evacuation.StallGuard
	// targetsListed is set once the targets' entries were read.
	targetsListed atomic.Bool
	balancer      *placing.Balancer
	eligibility   *eligibility.Tracker
	warmUp        *warmup.Tracker
	budget        *budget.Budget
	keyCounter    *gateway.KeyCounter
	upstream      *upstream.Client
	peers         *peer.Client
	agent         *shard.Agent
	crashes       *gateway.CrashWatch
	gateway       *gateway.Gateway
	ingress       *ingress.Server
	vmCount       vmCount
	vms           atomic.Pointer[[]string]
	// vmsInForce is the number of VMs by which the shares are divided.
	vmsInForce atomic.Int64
	// bodyLimitMu makes setBodyLimit use the latest settings and number of VMs.
	bodyLimitMu sync.Mutex
}

// RunNode runs basiltally-node until the context ends. It returns when the requests in
// flight are finished, or cut off shortly before stop_limit. load reads the settings file
// again.
func RunNode(ctx context.Context, s *NodeSettings, load func() (*NodeSettings, error)) error {
	// SIGHUP, which asks for a reload of the settings, would end the process by default.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	setMemory(s)
	out := telemetry.NewAsyncWriter(os.Stdout)
	defer out.Close()
	logger, err := telemetry.NewLogger(out, s.Log)
	if err != nil {
		return err
	}
	n := newNodeProcess(s, logger)
	n.registry.MustRegister(out)
	go n.reloadSettings(ctx, reloadSignals, load)
	return n.run(ctx)
}

// maxBatchBytes returns the size up to which changes of the store are relayed to all VMs over a
// link of this bandwidth. Compressed to a fraction and sent to 300 VMs, they fill it for about a second.
func maxBatchBytes(linkMbps float64) int {
	if linkMbps < minAssignerLinkMbps {
		return 64 << 10
	}
	return 512 << 10
}

// takeOverDelay returns how much longer than others a VM with this bandwidth and processor waits
// before it takes over the assigner's role.
func takeOverDelay(linkMbps, cpu float64) time.Duration {
	if linkMbps < minAssignerLinkMbps || cpu < minAssignerCPU {
		return smallVMTakeOverDelay
	}
	return 0
}

// setMemory sets the garbage collector's memory limit to memoryShare of the VM's memory.
func setMemory(s *NodeSettings) {
	debug.SetMemoryLimit(int64(float64(s.Gateway.MemoryMB) * memoryShare * (1 << 20)))
}

func newNodeProcess(s *NodeSettings, logger *slog.Logger) *nodeProcess {
	n := &nodeProcess{
		logger: logger, registry: telemetry.NewRegistry("basiltally-node"),
		objects: platform.NewObjectStore(s.Store.Address, s.Store.Timeout),
		balancer: placing.New(placing.Options{
			VM: s.Process.VM, DataCentre: s.Process.DataCentre, Region: s.Process.Region,
			PreferRegion: s.Placing.PreferRegion || s.Overload.contracted(), EvenSpread: s.Placing.EvenSpread || s.Overload.contracted(),
			LearnFull: s.Placing.PreferRegion || s.Placing.EvenSpread || s.Overload.on(),
		}),
		budget:     budget.New(budget.Options{Ratio: s.Retry.Ratio, ExtraRetries: s.Retry.Extra, Window: s.Retry.Window}),
		keyCounter: gateway.NewKeyCounter(),
		peers:      peer.NewClient(peer.ClientOptions{VM: s.Process.VM, Role: roleNode}),
	}
	n.settings.Store(s)
	if s.Gateway.Evacuate > 0 {
		n.evacuations = evacuation.New()
		n.stalls = evacuation.NewStallGuard(s.Gateway.Evacuate/stallDivisor, boottime.Now)
	}
	n.newFeed(s)
	n.newDirectory(s)
	memory := bodies.NewMemory(int64(float64(s.Gateway.MemoryMB) * bodyShare * (1 << 20)))
	n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "basiltally_body_memory_bytes", Help: "Memory that the bodies of requests and answers take.",
	}, func() float64 { return float64(memory.Used()) }))
	n.upstream = upstream.New(upstream.Options{
		Headers: platform.TargetHeaders(), Registerer: n.registry, Memory: memory,
		Sending: n.feed.Sending,
	})
	n.newAgent(s)
	n.newGateway(s)
	n.newIngress(s, memory)
	n.setBodyLimit()
	n.directory.OnChange(n.targetsChanged)
	return n
}

func (n *nodeProcess) run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	server, err := peer.Listen(peer.ServerOptions{Address: n.settings.Load().Peer.Listen, Handler: n.agent.Serve, Logger: n.logger})
	if err != nil {
		return err
	}
	parts := newComponents(work, n.logger)
	parts.run("peers", server.Run)
	parts.run("configuration", n.follower(platform.ConfigPrefix, newConfigConsumer(n), configSettle).Run)
	parts.run("targets", n.follower(platform.TargetPrefix, newTargetConsumer(n), targetSettle).Run)
	if n.evacuations != nil {
		consumer := newEvacuationConsumer(n)
		parts.run("evacuations", n.follower(platform.EvacuationPrefix, consumer, evacuationSettle).Run)
		parts.run("stalls", consumer.watchStalls)
	}
	parts.run("agent", n.agent.Run)
	parts.run("upstream", n.upstream.Run)
	parts.run("expiry", n.expire)
	parts.run("readiness", n.serveReady)
	parts.run("telemetry", func(ctx context.Context) error {
		return telemetry.Serve(ctx, telemetry.Options{Settings: n.settings.Load().Telemetry, Gatherer: n.registry, Ready: n.ready, Logger: n.logger})
	})
	n.logger.Info("started", "vm", n.settings.Load().Process.VM, "address", n.settings.Load().Gateway.Listen,
		"data_centre", n.settings.Load().Process.DataCentre, "version", telemetry.Version())
	serving, stopServing := parts.whileAllRun(ctx)
	defer stopServing()
	go func() {
		<-serving.Done()
		n.agent.Resign()
	}()
	err = n.ingress.Run(serving)
	n.logger.Info("stopped")
	stopWork()
	return firstError(err, parts.wait())
}

func (n *nodeProcess) follower(prefix string, c follow.Consumer, settle time.Duration) *follow.Follower {
	return follow.New(follow.Options{Feed: n.feed, Prefix: prefix, Consumer: c, Settle: settle, Logger: n.logger})
}

// serveReady serves the readiness requests of the load balancer, until the context ends.
func (n *nodeProcess) serveReady(ctx context.Context) error {
	return telemetry.Serve(ctx, telemetry.Options{
		Settings: telemetry.Settings{Listen: n.settings.Load().Gateway.ReadyListen}, Logger: n.logger,
		Handlers: map[string]fasthttp.RequestHandler{platform.ReadyPath: func(c *fasthttp.RequestCtx) {
			if err := n.ready(); err != nil {
				c.Error(err.Error()+"\n", fasthttp.StatusServiceUnavailable)
			}
		}},
	})
}

// ready returns the reason why the VM cannot serve, or nil.
func (n *nodeProcess) ready() error {
	switch {
	case n.ingress.Stopping():
		return errors.New("the process is stopping")
	case n.routes.Load() == nil:
		return errors.New("no configuration is known")
	case !n.targetsListed.Load():
		return errors.New("the targets are not known")
	case !n.evacuations.Listed():
		return errors.New("the data centres that are being evacuated are not known")
	}
	return nil
}

// limits returns the limits for callers that are in force: the configuration's, or default
// limits until one is known.
func (n *nodeProcess) limits() routing.Limits {
	if t := n.routes.Load(); t != nil {
		return t.Config.Limits
	}
	return routing.DefaultLimits()
}

// keyedServices returns the names of the services whose targets own keys; false until the
// configuration, the targets and the evacuations are known.
func (n *nodeProcess) keyedServices() ([]string, bool) {
	t := n.routes.Load()
	if t == nil || !n.targetsListed.Load() || !n.evacuations.Listed() {
		return nil, false
	}
	var names []string
	for _, s := range t.Config.Services {
		if s.Keyed {
			names = append(names, s.Name)
		}
	}
	return names, true
}

// setVMs records the addresses of the VMs that are connected to the assigner.
func (n *nodeProcess) setVMs(vms []string) {
	n.vmCount.set(len(vms), time.Now())
	n.vms.Store(&vms)
	n.eligibility.SetVMs(vms, n.vmCount.get(time.Now()))
	n.setPeers()
	n.warmUp.SetVMs(vms)
	n.divideAmongVMs()
}

// setPeers passes on the addresses of the VMs, unless some are missing because an assigner that has just taken over counts
// them anew. A VM whose position changes opens connections to other targets.
func (n *nodeProcess) setPeers() {
	if vms := n.vms.Load(); vms != nil && len(*vms) >= n.vmCount.get(time.Now()) {
		n.balancer.SetPeers(*vms, n.settings.Load().Peer.Listen)
	}
}

// divideAmongVMs divides the retry budget, the targets, their connections and the bodies in flight there among the VMs.
func (n *nodeProcess) divideAmongVMs() {
	count := n.vmCount.get(time.Now())
	if count == 0 || n.vmsInForce.Swap(int64(count)) == int64(count) {
		return
	}
	n.logger.Info("number of VMs changed", "vms", count)
	if vms := n.vms.Load(); vms != nil {
		n.eligibility.SetVMs(*vms, count)
	}
	n.budget.SetVMs(count)
	n.balancer.SetVMs(count)
	n.setPeers()
	n.setConnectionLimit()
	n.setBodyLimit()
}

// setBodyLimit divides the bytes of request bodies that may be in flight at one target among the VMs. The least share, which
// holds as well while the number of VMs is unknown, is one request with a body at a time.
func (n *nodeProcess) setBodyLimit() {
	n.bodyLimitMu.Lock()
	defer n.bodyLimitMu.Unlock()
	total, vms := n.settings.Load().Gateway.TargetBodyBytes, n.vmsInForce.Load()
	switch {
	case total == 0:
		n.balancer.SetMaxBodyBytes(0)
	case vms == 0:
		n.balancer.SetMaxBodyBytes(1)
	default:
		n.balancer.SetMaxBodyBytes(max(total/vms, 1))
	}
}

// setConnectionLimit divides the connections that a target accepts among the VMs. The lowest
// limit of all services holds for every target.
func (n *nodeProcess) setConnectionLimit() {
	t, vms := n.routes.Load(), int(n.vmsInForce.Load())
	if t == nil || vms == 0 {
		return
	}
	minConnections := 0
	for _, s := range t.Config.Services {
		if s.MaxConnections > 0 && (minConnections == 0 || s.MaxConnections < minConnections) {
			minConnections = s.MaxConnections
		}
	}
	if minConnections > 0 {
		n.upstream.SetLimit(minConnections / vms)
		n.balancer.SetMaxInFlight(minConnections / vms)
	}
}

// firstList reads the first list of a prefix. The targets' entries take many calls, which cost
// less if they may be seconds old; the poll that follows brings the changes since. The
// configuration is a single object.
func (n *nodeProcess) firstList(ctx context.Context, prefix string) ([]store.Object, store.Version, error) {
	if prefix == platform.TargetPrefix {
		return n.objects.ListStale(ctx, prefix)
	}
	return n.objects.List(ctx, prefix)
}

// targetsChangedAfter returns an instant after which the changes of the targets' entries were made
// that are being applied.
func (n *nodeProcess) targetsChangedAfter() time.Time {
	ago, known := n.feed.ChangedAgo(platform.TargetPrefix)
	if !known {
		// The first list after the start.
		return time.Now()
	}
	return time.Now().Add(-ago)
}

func (n *nodeProcess) targetsChanged() {
	snapshot := n.directory.Snapshot()
	known := snapshot.ByID
	n.balancer.Retain(func(id string) bool { return known[id] != nil })
	n.eligibility.Retain(func(i fleet.Incarnation) bool { return known[i.ID] != nil && known[i.ID].Born == i.Born })
}

// expire drops targets whose entries did not return after an outage of the store, and numbers of
// VMs that are no longer in force, until the context ends.
func (n *nodeProcess) expire(ctx context.Context) error {
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			n.directory.Expire()
			n.warmUp.Refresh()
			n.divideAmongVMs()
		}
	}
}
