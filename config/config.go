// Package config defines the configuration bundle: the tenants, classes, pools
// and limits that every process applies. One version of the bundle is in force
// at a time.
package config

import (
	"time"

	"github.com/basiltally/basiltally/ownership"
)

// Kind tells how requests of a class may be executed.
type Kind string

// Kinds of classes.
const (
	// KeyedRead requests are idempotent and go to the owner of their key.
	KeyedRead Kind = "keyed-read"
	// AtMostOnce requests carry an idempotency key and run at most once.
	AtMostOnce Kind = "at-most-once"
	// Bulk requests are long transfers, kept apart from short work.
	Bulk Kind = "bulk"
)

// Class is a kind of work of one tenant, recognised by its path prefix.
type Class struct {
	// Name is unique within the tenant.
	Name string
	Kind Kind
	// PathPrefix selects the class; the longest match wins. The rest of the path,
	// up to the next slash, is the key of a keyed class.
	PathPrefix string
	// Pool names the pool that serves the class.
	Pool string
	// Deadline bounds the whole request; a caller may ask for less.
	Deadline time.Duration
	// MaxBody is the largest request body in bytes.
	MaxBody int
	// QueueLength is the number of requests that wait on one entry.
	QueueLength int
	// Rate is the admitted requests per second on one entry, with Burst; zero is unlimited.
	Rate  float64
	Burst int
	// Hedge allows a second attempt of a slow idempotent read.
	Hedge bool
}

// Tenant is a customer with its classes. Requests name it in the Basiltally-Tenant
// header; a bundle with a single tenant makes it the default.
type Tenant struct {
	Name    string
	Classes []Class
}

// Pool is a set of targets of one sort.
type Pool struct {
	Name string
	// Keyed pools give each slot one owner; in others any target serves any request.
	Keyed bool
	// Groups lists the groups of the pool; pools that are not keyed have one.
	Groups []ownership.GroupID
	// TargetSlots is the number of requests that one target runs at once.
	TargetSlots int
	// TargetConnections is the number of connections one target accepts from all VMs.
	TargetConnections int
	// ChecksTokens tells whether the targets refuse old tokens and lapsed leases.
	ChecksTokens bool
	// ProbeInterval is the least time between two health probes of a target.
	ProbeInterval time.Duration
}

// Bundle is one version of the configuration.
type Bundle struct {
	// Version rises with each bundle and never falls.
	Version uint64
	Tenants []Tenant
	Pools   []Pool
	// LinkBytesPerSecond is the budget for bulk bytes between each pair of regions, over all VMs.
	LinkBytesPerSecond int64
}

// PoolByName returns the pool, or nil.
func (b *Bundle) PoolByName(name string) *Pool {
	for i := range b.Pools {
		if b.Pools[i].Name == name {
			return &b.Pools[i]
		}
	}
	return nil
}
