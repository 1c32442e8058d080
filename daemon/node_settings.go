package daemon

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/telemetry"
)

// GatewaySettings configures the callers' side of basiltally-node.
type GatewaySettings struct {
	Listen      string        `ini:"listen" required:"true" unit:"host:port" doc:"Address on which callers connect."`
	ReadyListen string        `ini:"ready_listen" required:"true" unit:"host:port" doc:"Address on which the balancer asks whether the VM is ready."`
	Regions     []string      `ini:"regions" required:"true" unit:"data_centre=region" doc:"The region of each data centre."`
	LameDuck    time.Duration `ini:"lame_duck" default:"2200ms" unit:"duration" range:"0s..1m" doc:"How long new connections are taken after a stop has begun, until the balancer has seen it."`
	StopLimit   time.Duration `ini:"stop_limit" default:"6s" unit:"duration" range:"1s..24h" doc:"Time after which the platform ends a stopping process; requests still running shortly before it are cut off."`
	Link        float64       `ini:"link" default:"1000" unit:"Mbit/s" range:"0.1..1000000" doc:"Bandwidth of the VM; one with a thin link leaves the assigner's role to others."`
	Memory      int           `ini:"memory" default:"256" unit:"MB" range:"32..1048576" doc:"Memory of the VM; the garbage collector works harder near it."`
}

// Validate implements the settings' check across keys.
func (g *GatewaySettings) Validate() error {
	for _, pair := range g.Regions {
		if dc, region, ok := strings.Cut(pair, "="); !ok || dc == "" || region == "" {
			return errors.Errorf("regions: %q is not data_centre=region", pair)
		}
	}
	return nil
}

// regionOf returns the region of each data centre.
func (g *GatewaySettings) regionByDataCentre() map[string]string {
	m := make(map[string]string, len(g.Regions))
	for _, pair := range g.Regions {
		dc, region, _ := strings.Cut(pair, "=")
		m[dc] = region
	}
	return m
}

// RepeatSettings bound how many requests are sent to a service again.
type RepeatSettings struct {
	Ratio  float64       `ini:"ratio" default:"0.2" unit:"share" range:"0..1" doc:"Share of a service's requests that may be sent again, over all VMs."`
	Extra  float64       `ini:"extra" default:"50" unit:"requests" range:"0..1000000" doc:"Requests that may be sent again besides in a window, over all VMs."`
	Window time.Duration `ini:"window" default:"10s" unit:"duration" range:"1s..10m" doc:"Span in which the bound holds."`
}

// ShardSettings hold the timings of the owners' leases.
type ShardSettings struct {
	Hold       time.Duration `ini:"hold" default:"3s" unit:"duration" range:"500ms..1m" doc:"Duration of a target's lease. A range whose owner is lost waits for its end."`
	HoldMax    time.Duration `ini:"hold_max" default:"10s" unit:"duration" range:"500ms..1m" doc:"Longest lease that targets accept; about that is used while the store does not answer."`
	RoleLease  time.Duration `ini:"role_lease" default:"3s" unit:"duration" range:"500ms..1m" doc:"How long the assigner acts after the store confirmed it."`
	RelayAbove int           `ini:"relay_above" default:"24" unit:"VMs" range:"1..1000000" doc:"Number of VMs above which they take changes of the store from the assigner in place of polling the store each."`
}

// NodeSettings is the settings file of basiltally-node.
type NodeSettings struct {
	Process   Process               `ini:"process"`
	Log       telemetry.LogSettings `ini:"log"`
	Telemetry telemetry.Settings    `ini:"telemetry"`
	Store     Store                 `ini:"store"`
	Peer      Peer                  `ini:"peer"`
	Gateway   GatewaySettings       `ini:"gateway"`
	Repeat    RepeatSettings        `ini:"repeat"`
	Shard     ShardSettings         `ini:"shard"`
}
