package daemon

import (
	"time"

	"github.com/basiltally/basiltally/bodies"
	"github.com/basiltally/basiltally/eligibility"
	"github.com/basiltally/basiltally/gateway"
	"github.com/basiltally/basiltally/ingress"
	"github.com/basiltally/basiltally/platform"
	"github.com/basiltally/basiltally/quarantine"
	"github.com/basiltally/basiltally/shard"
	"github.com/basiltally/basiltally/store/relayfeed"
)

// newFeed creates the feed of the store's changes.
func (n *nodeProcess) newFeed(s *NodeSettings) {
	var quiet func(string) bool
	if n.evacuations != nil {
		quiet = func(prefix string) bool { return prefix == platform.EvacuationPrefix }
	}
	n.feed = relayfeed.New(relayfeed.Options{
		Direct: n.objects, Check: n.objects.Check, Logger: n.logger, FirstList: n.firstList, FirstReaderWait: firstReaderWait, Quiet: quiet,
		MaxBatchBytes: maxBatchBytes(s.Gateway.LinkMbps), OnBatch: func(b relayfeed.Batch) { n.agent.RelayBatch(b) },
	})
	n.objects.OnSending(n.feed.Sending)
	n.observeEras()
}

// newAgent creates the agent of the keys' owners and what it shares with the other VMs: the requests that crash targets.
func (n *nodeProcess) newAgent(s *NodeSettings) {
	suspects := quarantine.New(quarantine.Options{
		VM: s.Process.VM, MinCrashes: s.Gateway.QuarantineCrashes, Duration: s.Gateway.QuarantineTime,
		AmbiguousDuration: s.Gateway.QuarantineTime, Registerer: n.registry, Logger: n.logger,
	})
	n.crashes = gateway.NewCrashWatch(gateway.CrashWatchOptions{
		Tracker: suspects, Directory: n.directory, Connected: n.upstream.Connected, Probe: n.upstream.Probe, OnRefused: n.targetRefused,
		EntryDelay: gateway.EntryDelay(s.Gateway.CheckIn), Registerer: n.registry, Logger: n.logger,
	})
	n.agent = shard.NewAgent(shard.AgentOptions{
		VM: s.Process.VM, Address: s.Peer.Listen, Seeds: s.Peer.Seeds, Store: n.objects, Peers: n.peers,
		Orders: platform.NewOrders(), Directory: n.directory, Services: n.keyedServices, Cold: n.coldTarget(), Report: n.shardReport,
		Placement: n.keyPlacement(), Registerer: n.registry, OnVMs: n.setVMs, OnTargets: n.mergeTargetStates, Feed: n.feed, Suspects: suspects,
		RelayAbove: s.Shard.RelayAbove, StartSpread: s.Shard.StartSpread, TakeOverDelay: takeOverDelay(s.Gateway.LinkMbps, s.Gateway.CPU), LinkMbps: s.Gateway.LinkMbps,
		RoleLease: s.Shard.RoleLease, Logger: n.logger, Leases: shard.LeaseOptions{
			LeaseDuration:     min(s.Shard.LeaseDuration, s.Shard.MaxLeaseDuration),
			LongLeaseDuration: time.Duration(longLeaseShare * float64(s.Shard.MaxLeaseDuration)),
		},
	})
	n.keyCounter.OnBusyOwner(n.agent.ReportBusyOwner)
}

// newGateway creates the gateway and what it asks before a request is sent.
func (n *nodeProcess) newGateway(s *NodeSettings) {
	n.eligibility = eligibility.New(eligibility.Options{
		Directory: n.directory, VM: s.Peer.Listen, DrainTime: s.Gateway.DrainTime, WarmUp: n.warmUp, Registerer: n.registry, Logger: n.logger,
		Evacuation: eligibility.EvacuationOptions{Set: n.evacuations, Stalls: n.stalls, Time: s.Gateway.Evacuate},
	})
	var byPriority *gateway.Overload
	if s.Overload.on() {
		byPriority = gateway.NewOverload(gateway.OverloadOptions{Registerer: n.registry, Logger: n.logger})
	}
	n.gateway = gateway.New(gateway.Options{
		Headers: platform.CallerHeaders(), TargetHeaders: platform.TargetHeaders(), Routes: n.routes.Load,
		TargetsKnownAgo: func() (time.Duration, bool) { return n.feed.KnownAgo(platform.TargetPrefix) },
		Directory:       n.directory, Eligibility: n.eligibility, Evacuations: n.evacuations, Shards: n.agent, Balancer: n.balancer,
		Upstream: n.upstream, Budget: n.budget, KeyCounter: n.keyCounter, Crashes: n.crashes, Overload: byPriority,
		Registerer: n.registry, Logger: n.logger,
	})
}

// newIngress creates the server of callers' connections.
func (n *nodeProcess) newIngress(s *NodeSettings, memory *bodies.Memory) {
	n.ingress = ingress.New(ingress.Options{
		Address: s.Gateway.Listen, Handler: n.gateway, Limits: n.limits,
		LameDuck: s.Gateway.LameDuck, StopLimit: s.Gateway.StopLimit - stopMargin, MaxConnections: callerConnections(n.logger),
		ConnectionMemory: int64(float64(s.Gateway.MemoryMB) * connectionShare * (1 << 20)), Memory: memory, Registerer: n.registry, Logger: n.logger,
	})
}
