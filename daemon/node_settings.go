package daemon

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/platform"
	"github.com/basiltally/basiltally/telemetry"
)

// GatewaySettings configures the callers' side of basiltally-node.
type GatewaySettings struct {
	Listen            string        `ini:"listen" required:"true" unit:"host:port" doc:"Address on which callers connect."`
	ReadyListen       string        `ini:"ready_listen" required:"true" unit:"host:port" doc:"Address of the readiness endpoint that the balancer requests."`
	Regions           []string      `ini:"regions" required:"true" unit:"data_centre=region" doc:"The region of each data centre."`
	LameDuck          time.Duration `ini:"lame_duck" default:"2200ms" unit:"duration" range:"0s..1m" doc:"How long new connections are still accepted after a stop has begun, so that the balancer can notice the stop."`
	StopLimit         time.Duration `ini:"stop_limit" default:"6s" unit:"duration" range:"1s..24h" doc:"Time after which the platform ends a stopping process; requests still running shortly before it are cut off."`
	DrainTime         time.Duration `ini:"drain_time" default:"2s" unit:"duration" range:"500ms..1m" doc:"How long a target takes requests after the store has its entry as draining. Shortly before its end the owner of a key gets no more of them."`
	Evacuate          time.Duration `ini:"evacuate" default:"0s" unit:"duration" range:"0s..1m" doc:"Time after the store has accepted an entry for the evacuation of a data centre from which no request reaches targets in that data centre. Zero does not read these entries."`
	LinkMbps          float64       `ini:"link" default:"1000" unit:"Mbit/s" range:"0.1..1000000" doc:"Bandwidth of the VM; a VM with low bandwidth leaves the assigner's role to others."`
	CPU               float64       `ini:"cpu" default:"1" unit:"cores" range:"0.01..1024" doc:"Processor of the VM; a VM with a small share of a core leaves the assigner's role to others."`
	QuarantineCrashes int           `ini:"quarantine_crashes" default:"3" unit:"crashes" range:"2..4" doc:"Number of targets' crashes while they ran the same request, from which all VMs refuse it."`
	QuarantineTime    time.Duration `ini:"quarantine_time" default:"10m" unit:"duration" range:"1s..24h" doc:"How long such a request is refused after the latest crash."`
	CheckIn           time.Duration `ini:"check_in" default:"1500ms" unit:"duration" range:"100ms..1m" doc:"Interval at which targets renew their entries. The entry of a target that has crashed is removed after three of them."`
	MemoryMB          int           `ini:"memory" default:"256" unit:"MB" range:"32..1048576" doc:"Memory of the VM; the garbage collector works harder as the process comes near it."`
	TargetBodyBytes   int64         `ini:"target_body_bytes" default:"0" unit:"bytes" range:"0..1099511627776" doc:"Bytes of request bodies that all VMs together may have in flight at one target. Each VM takes an even share, and may always have one request in flight there. Zero does not bound them."`
}

// Validate returns an error if a value of regions is not of the form data_centre=region.
func (g *GatewaySettings) Validate() error {
	for _, pair := range g.Regions {
		if dc, region, ok := strings.Cut(pair, "="); !ok || dc == "" || region == "" {
			return errors.Errorf("regions: %q is not data_centre=region", pair)
		}
	}
	return nil
}

// regionByDataCentre returns the region of each data centre.
func (g *GatewaySettings) regionByDataCentre() map[string]string {
	m := make(map[string]string, len(g.Regions))
	for _, pair := range g.Regions {
		dc, region, _ := strings.Cut(pair, "=")
		m[dc] = region
	}
	return m
}

// RetrySettings limits how many requests are sent to a service again.
type RetrySettings struct {
	Ratio  float64       `ini:"ratio" default:"0.2" unit:"share" range:"0..1" doc:"Share of a service's requests that may be sent again, over all VMs."`
	Extra  float64       `ini:"extra" default:"50" unit:"requests" range:"0..1000000" doc:"Requests that may be sent again in a window in addition to the ratio, over all VMs."`
	Window time.Duration `ini:"window" default:"10s" unit:"duration" range:"1s..10m" doc:"Time span over which the limit applies."`
}

// ShardSettings configures the leases of the targets and of the assigner's role, and the
// relaying of store changes.
type ShardSettings struct {
	LeaseDuration    time.Duration `ini:"hold" default:"3s" unit:"duration" range:"500ms..1m" doc:"Duration of a target's lease. A key range whose owner is lost gets a new owner only after the lease has ended."`
	MaxLeaseDuration time.Duration `ini:"hold_max" default:"10s" unit:"duration" range:"500ms..1m" doc:"Longest lease that targets accept; leases of nearly this duration are used while the store does not answer."`
	RoleLease        time.Duration `ini:"role_lease" default:"3s" unit:"duration" range:"500ms..1m" doc:"How long the assigner may act after the store last confirmed its role."`
	StartSpread      time.Duration `ini:"start_spread" default:"50ms" unit:"duration" range:"1ms..10s" doc:"Period over which VMs that start together spread their search for the assigner. A longer one at the first start of many VMs saves calls to the store."`
	RelayAbove       int           `ini:"relay_above" default:"24" unit:"VMs" range:"1..1000000" doc:"Number of VMs above which they receive changes of the store from the assigner instead of each polling the store."`
}

// PlacingSettings configures which targets get the requests that any target of a service may serve.
type PlacingSettings struct {
	PreferRegion bool `ini:"prefer_region" default:"false" doc:"Whether such a request goes to another region only while the targets of this region have no room, or would answer later than the latency target allows."`
	EvenSpread   bool `ini:"even_spread" default:"false" doc:"Whether the VMs use subsets of the targets that cover each target equally often."`
}

// WarmUpSettings bounds the requests that a target gets while it is cold, in addition to the rate that its service states.
type WarmUpSettings struct {
	Overage float64 `ini:"overage" default:"0" unit:"ratio" range:"0..100" doc:"Multiple of the rate that a service states for its cold targets, which all VMs together may send to one in any second; 0 does not bound it."`
	Slack   float64 `ini:"slack" default:"0" unit:"requests" range:"0..1000000" doc:"Requests that a cold target may get in any second in addition."`
}

// OverloadSettings configures who is served while a service gets more requests than it can serve.
type OverloadSettings struct {
	Enabled   bool     `ini:"enabled" default:"false" doc:"Whether requests are refused for lack of room by priority, deadline and work, and refused callers return spread over time."`
	Contracts []string `ini:"contracts" unit:"name" doc:"The platform's list of contracts. The one for overload sets enabled, and prefer_region and even_spread of placing."`
}

// contracted reports whether the platform's contracts ask for decisions on overload.
func (o *OverloadSettings) contracted() bool { return platform.RefusesByPriority(o.Contracts) }

// on reports whether refusals are decided by priority.
func (o *OverloadSettings) on() bool { return o.Enabled || o.contracted() }

// NodeSettings is the settings file of basiltally-node.
type NodeSettings struct {
	Process   Process               `ini:"process"`
	Log       telemetry.LogSettings `ini:"log"`
	Telemetry telemetry.Settings    `ini:"telemetry"`
	Store     Store                 `ini:"store"`
	Peer      Peer                  `ini:"peer"`
	Gateway   GatewaySettings       `ini:"gateway"`
	Retry     RetrySettings         `ini:"repeat"`
	Shard     ShardSettings         `ini:"shard"`
	Placing   PlacingSettings       `ini:"placing"`
	WarmUp    WarmUpSettings        `ini:"warmup"`
	Overload  OverloadSettings      `ini:"overload"`
}
