// Package daemon builds the system's long-running processes from their components and
// defines their settings files.
package daemon

import (
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/basiltally/basiltally/claim"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/telemetry"
)

// Process names the VM on which a process runs, and its location.
type Process struct {
	VM         string `ini:"vm" required:"true" doc:"Name of the VM, as in the platform's VM list."`
	Region     string `ini:"region" required:"true" doc:"Region of the VM."`
	DataCentre string `ini:"data_centre" required:"true" doc:"Data centre of the VM."`
}

// Store configures the client of the platform's object API.
type Store struct {
	Address string        `ini:"address" required:"true" unit:"host:port" doc:"Address of the object API."`
	Timeout time.Duration `ini:"timeout" default:"2s" unit:"duration" range:"50ms..30s" doc:"Longest wait for one call; a watch waits longer."`
}

// Peer configures the connections between the system's processes.
type Peer struct {
	Listen             string   `ini:"listen" default:"127.0.0.1:9200" unit:"host:port" doc:"Address on which the process accepts peers. Other VMs find it in the VM list."`
	Seeds              []string `ini:"seeds" default:"" unit:"host:port" doc:"Peer addresses of some VMs, which are asked for the VM list while the platform does not return it."`
	TLSCertificateFile string   `ini:"tls_certificate_file" default:"" doc:"PEM file with this VM's certificate. Empty turns TLS off; set all three files or none."`
	TLSKeyFile         string   `ini:"tls_key_file" default:"" doc:"PEM file with the certificate's key."`
	TLSAuthorityFile   string   `ini:"tls_authority_file" default:"" doc:"PEM file with the authorities that sign the peers' certificates."`
}

// Assign configures the assignment of slots to targets: the timings of leases and of support
// between VMs, and the sizes of groups.
type Assign struct {
	Support         time.Duration `ini:"support" default:"1s" unit:"duration" range:"200ms..10s" doc:"Duration of a support promise between VMs. Must be the same on all VMs."`
	Heartbeat       time.Duration `ini:"heartbeat" default:"250ms" unit:"duration" range:"20ms..2s" doc:"Interval of support requests and of renewals of targets' leases."`
	Lease           time.Duration `ini:"lease" default:"1s" unit:"duration" range:"200ms..10s" doc:"Duration of a target's lease."`
	LostAfter       time.Duration `ini:"lost_after" default:"750ms" unit:"duration" range:"100ms..30s" doc:"Time without an answer after which a target is probed through peers and then treated as lost."`
	RequestDeadline time.Duration `ini:"request_deadline" default:"10s" unit:"duration" range:"100ms..1h" doc:"Longest duration of a request; this time passes before a slot is taken from a target that does not check tokens."`
	HotShare        float64       `ini:"hot_share" default:"0.1" unit:"share" range:"0..1" doc:"Share of a group's requests from which on a key gets a slot of its own; 0 means never."`
	GroupSlots      int           `ini:"group_slots" default:"256" unit:"slots" range:"1..65536" doc:"Hashed slots of a group that is created by this process."`
	Candidates      int           `ini:"candidates" default:"3" unit:"VMs" range:"1..9" doc:"Candidate VMs of a group that is created by this process; must be odd."`
}

// Claim configures the claims of idempotency keys. It must be the same on all VMs.
type Claim struct {
	Partitions     int           `ini:"partitions" default:"16" unit:"partitions" range:"1..65536" doc:"Number of logs over which claims are distributed; must not change during the life of a deployment."`
	Retention      time.Duration `ini:"retention" default:"1h" unit:"duration" range:"1m..720h" doc:"How long claims and recorded answers are kept; a request that is resent later is a new request."`
	AppendInterval time.Duration `ini:"append_interval" default:"100ms" unit:"duration" range:"1ms..10s" doc:"Shortest time between two writes to a partition by one VM; claims that arrive in between share a write."`
	MaxBody        int           `ini:"max_body" default:"1024" unit:"bytes" range:"0..65536" doc:"Largest answer body that is kept for resent requests."`
}

func (c *Claim) options(s store.Store, vm string, r prometheus.Registerer, logger *slog.Logger) claim.Options {
	return claim.Options{
		Store: s, Self: ownership.VMID(vm), Partitions: c.Partitions, Retention: c.Retention,
		AppendInterval: c.AppendInterval, MaxBody: c.MaxBody, Registerer: r, Logger: logger,
	}
}

// BundleSource names the file of the configuration bundle and the approvers whose
// signatures a bundle needs.
type BundleSource struct {
	File         string   `ini:"file" default:"" doc:"Bundle document without signatures, for first runs; allowed only without approvers_dir."`
	ApproversDir string   `ini:"approvers_dir" default:"" doc:"Directory of the approvers' public keys; if empty, only the bundle in file is accepted."`
	Approvals    int      `ini:"approvals" default:"1" unit:"approvers" range:"1..9" doc:"Number of named approvers whose signatures a bundle needs."`
	Approvers    []string `ini:"approvers" default:"" doc:"Names of the approvers; each has a file NAME.pub in approvers_dir. If empty, all files count."`
}

// AssignSettings is the settings file of basiltally-assign.
type AssignSettings struct {
	Process   Process               `ini:"process"`
	Log       telemetry.LogSettings `ini:"log"`
	Telemetry telemetry.Settings    `ini:"telemetry"`
	Store     Store                 `ini:"store"`
	Peer      Peer                  `ini:"peer"`
	Assign    Assign                `ini:"assign"`
	Claim     Claim                 `ini:"claim"`
	Bundle    BundleSource          `ini:"bundle"`
}

// Entry configures the callers' side of basiltally-entry.
type Entry struct {
	Listen             string        `ini:"listen" default:"127.0.0.1:8080" unit:"host:port" doc:"Address on which callers connect."`
	AssignAddress      string        `ini:"assign_address" default:"127.0.0.1:9200" unit:"host:port" doc:"Peer address of the assign process on the same VM."`
	DrainLimit         time.Duration `ini:"drain_limit" default:"10m" unit:"duration" range:"0s..24h" doc:"Longest duration of a graceful stop; requests still running then are cut off. 0s means no limit."`
	LinkBytesPerSecond int64         `ini:"link_bytes_per_second" default:"0" unit:"bytes/s" range:"0..100000000000" doc:"This entry's share of the links from each other region for bulk answers; 0 means no limit."`
	HeaderTimeout      time.Duration `ini:"header_timeout" default:"5s" unit:"duration" range:"100ms..5m" doc:"Longest wait for the header of a request."`
	MaxHeader          int           `ini:"max_header" default:"16384" unit:"bytes" range:"1024..1048576" doc:"Largest header of a request."`
}

// EntrySettings is the settings file of basiltally-entry.
type EntrySettings struct {
	Process   Process               `ini:"process"`
	Log       telemetry.LogSettings `ini:"log"`
	Telemetry telemetry.Settings    `ini:"telemetry"`
	Store     Store                 `ini:"store"`
	Peer      Peer                  `ini:"peer"`
	Entry     Entry                 `ini:"entry"`
	Claim     Claim                 `ini:"claim"`
	Bundle    BundleSource          `ini:"bundle"`
}
