// Package config defines the configuration bundle: the tenants, classes, pools and
// limits that every process applies. One version of the bundle is in force at a time.
package config

import (
	"time"

	"github.com/basiltally/basiltally/ownership"
)

// Kind specifies how requests of a class may be executed.
type Kind string

// Kinds of classes.
const (
	// KeyedRead requests are idempotent and go to the owner of their key.
	KeyedRead Kind = "keyed-read"
	// AtMostOnce requests carry an idempotency key and run at most once.
	AtMostOnce Kind = "at-most-once"
	// Bulk requests are long transfers; they share no pool with short requests.
	Bulk Kind = "bulk"
)

// Class is a class of requests of one tenant, selected by path prefix.
type Class struct {
	// Name is unique within the tenant.
	Name string
	Kind Kind
	// PathPrefix selects the class; the longest match wins. The rest of the path,
	// up to the next slash, is the key of a keyed class.
	PathPrefix string
	// Pool names the pool that serves the class.
	Pool string
	// Deadline is the longest duration of a whole request; a caller may ask for less.
	Deadline time.Duration
	// MaxBody is the largest request body in bytes.
	MaxBody int
	// QueueLength is the largest number of requests that wait on one entry.
	QueueLength int
	// Rate is the number of requests per second that one entry admits; zero is unlimited.
	Rate float64
	// Burst is the number of requests that one entry admits at once above Rate; at
	// least 1 if Rate is not zero.
	Burst int
	// Hedge allows a second attempt of a slow keyed read.
	Hedge bool
}

// Tenant is a client account with its classes. Requests name their tenant in the
// Basiltally-Tenant header; the tenant of a bundle with only one is the default.
type Tenant struct {
	Name    string
	Classes []Class
}

// Pool is a set of targets of the same kind.
type Pool struct {
	Name string
	// Keyed gives each slot of the pool one owner; in a pool that is not keyed, any
	// target serves any request.
	Keyed bool
	// Groups lists the groups of the pool; a pool that is not keyed has one.
	Groups []ownership.GroupID
	// TargetSlots is the largest number of requests that one target runs at once.
	TargetSlots int
	// TargetConnections is the largest number of connections that one target accepts
	// from all VMs together.
	TargetConnections int
	// ChecksTokens is set if the targets refuse old fencing tokens and expired leases.
	ChecksTokens bool
	// ProbeInterval is the shortest time between two health probes of a target.
	ProbeInterval time.Duration
}

// Bundle is one version of the configuration.
type Bundle struct {
	// Version is higher in each new bundle and never decreases.
	Version uint64
	Tenants []Tenant
	Pools   []Pool
	// LinkBytesPerSecond is the budget for bulk transfers between each pair of regions,
	// over all VMs.
	LinkBytesPerSecond int64
}

// PoolByName returns the pool, or nil if the bundle has none of that name.
func (b *Bundle) PoolByName(name string) *Pool {
	for i := range b.Pools {
		if b.Pools[i].Name == name {
			return &b.Pools[i]
		}
	}
	return nil
}
