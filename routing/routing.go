// Package routing finds the route of a request by host and longest path prefix,
// and divides a route's requests among its services by weight.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Kind tells what may be done with a request of a route.
type Kind int

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// AtMostOnce requests may run once at most.
	AtMostOnce
	// Bulk requests are idempotent and have large answers.
	Bulk
)

// String returns the name of the kind.
func (k Kind) String() string {
	return [...]string{"idempotent", "at-most-once", "bulk"}[k]
}

// Part is a service to which a share of a route's requests goes.
type WeightedService struct {
	Service string
	// Weight is relative to the sum of the route's weights.
	Weight int
}

// Route says where requests of a host and path prefix go.
type Route struct {
	Name string
	// Host is compared without case and port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the time until the final answer.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer is of full use to the caller.
	LatencyTarget time.Duration
	// Priority is the rank among the routes of a service; 0 is the highest.
	Priority int
	// Parts are the services; most routes have one.
	Services []WeightedService
	// MaxAttempts bounds the targets to which one request is sent.
	MaxAttempts int
}

// Service is a set of targets that serve the same requests.
type Service struct {
	Name string
	// MaxConnections bounds the open connections to one target, those of all VMs together.
	MaxConnections int
	// Keyed targets own ranges of keys.
	Keyed bool
	// WarmUp is the time for which keys that arrived without a handover are slow.
	WarmUp time.Duration
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Table is a Config arranged for look-up.
type Table struct {
	Config   *Config
	hosts    map[string][]*Entry
	services map[string]*Service
}

// Entry is a route of a Table with the state of its division among services.
type Entry struct {
	Route
	total int
	// turn counts the requests that were divided.
	turn atomic.Uint64
	// order holds indices into Parts, each as often as its weight, well mixed.
	order []uint8
}

// maxOrder bounds the weights' sum after reduction by their greatest common divisor.
const maxOrder = 1000

// NewTable arranges a configuration. It reports the first fault.
func NewTable(c *Config) (*Table, error) {
	t := &Table{Config: c, hosts: map[string][]*Entry{}, services: map[string]*Service{}}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for _, r := range c.Routes {
		e, err := t.newEntry(r)
		if err != nil {
			return nil, errors.WithMessagef(err, "route %q", r.Name)
		}
		host := normalHost(r.Host)
		t.hosts[host] = append(t.hosts[host], e)
	}
	for _, entries := range t.hosts {
		slices.SortStableFunc(entries, func(a, b *Entry) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t, nil
}

func (t *Table) newEntry(r Route) (*Entry, error) {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return nil, errors.Errorf("path prefix %q does not begin and end with a slash", r.Prefix)
	}
	if len(r.Services) == 0 || len(r.Services) > 255 {
		return nil, errors.Errorf("%d services, want 1 to 255", len(r.Services))
	}
	e := &Entry{Route: r}
	for _, p := range r.Services {
		if t.services[p.Service] == nil {
			return nil, errors.Errorf("service %q is not configured", p.Service)
		}
		if p.Weight < 0 {
			return nil, errors.Errorf("weight %d of service %q is negative", p.Weight, p.Service)
		}
		e.total += p.Weight
	}
	if e.total == 0 {
		return nil, errors.New("all weights are zero")
	}
	e.order = mixedOrder(r.Services, e.total)
	return e, nil
}

// mixedOrder spreads the parts by smooth weighted round robin, so that each
// stretch of requests is divided close to the weights.
func mixedOrder(parts []WeightedService, total int) []uint8 {
	divisor := total
	for _, p := range parts {
		divisor = gcd(divisor, p.Weight)
	}
	length := min(total/divisor, maxOrder)
	order := make([]uint8, length)
	credit := make([]int, len(parts))
	for i := range order {
		best := 0
		for j, p := range parts {
			credit[j] += p.Weight
			if credit[j] > credit[best] {
				best = j
			}
		}
		credit[best] -= total
		order[i] = uint8(best)
	}
	return order
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// normalHost returns the host in lower case without its port.
func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Lookup returns the entry with the longest prefix of the path, or nil.
func (t *Table) Lookup(host, path string) *Entry {
	for _, e := range t.hosts[normalHost(host)] {
		if strings.HasPrefix(path, e.Prefix) {
			return e
		}
	}
	return nil
}

// Service returns the service of that name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Choose returns the service for the next request. The start is random for each
// table and VM, given by the caller as a seed.
func (e *Entry) Choose(seed uint64) string {
	if len(e.Services) == 1 {
		return e.Services[0].Service
	}
	n := e.turn.Add(1) + seed
	return e.Services[e.order[n%uint64(len(e.order))]].Service
}
