// Package routing finds the route of a request by its host and the longest matching path
// prefix, and divides a route's requests among its services by weight.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Kind is how the requests of a route may be handled.
type Kind int

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// AtMostOnce requests must not run more than once.
	AtMostOnce
	// Bulk requests are idempotent and have large answers.
	Bulk
	// Upload requests must not run more than once and have large bodies.
	Upload
)

// String returns the name of the kind.
func (k Kind) String() string {
	return [...]string{"idempotent", "at-most-once", "bulk", "bulk-at-most-once"}[k]
}

// MayRepeat reports whether a request of the kind may run more than once.
func (k Kind) MayRepeat() bool { return k == Idempotent || k == Bulk }

// Large reports whether the bodies of requests or answers of the kind are large, so that the traffic
// between regions counts.
func (k Kind) Large() bool { return k == Bulk || k == Upload }

// WeightedService is a service that gets a share of a route's requests.
type WeightedService struct {
	Service string
	// Weight divided by the sum of the weights in the route is the service's share.
	Weight int
}

// Route defines how requests for a host and path prefix are handled.
type Route struct {
	Name string
	// Host is compared without regard to case and port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the time until the final answer; zero means that the route sets none.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer is of full use to the caller.
	LatencyTarget time.Duration
	// Priority is the rank among the routes of a service; 0 is the highest.
	Priority int
	// Services lists the services that share the route's requests. Most routes have one.
	Services []WeightedService
	// MaxAttempts bounds how often one request is sent to a target.
	MaxAttempts int
	// AllowedRegions lists the regions of the targets that the requests may be sent to. If it is
	// empty, all are allowed.
	AllowedRegions []string
	// Unserved says why the requests of the route are refused; it is empty if they are served. The
	// route still takes the requests that match it from routes with shorter prefixes, which may lead to
	// other services.
	Unserved string
}

// Service is a set of targets that serve the same requests.
type Service struct {
	Name string
	// MaxConnections bounds the open connections of all VMs together to one target.
	MaxConnections int
	// Keyed is set if each target owns ranges of keys.
	Keyed bool
	// WarmUp is the time for which requests for a key are slow after a target has got the key
	// without a handover.
	WarmUp time.Duration
	// ColdTime is the time for which a target is cold after its start, and ColdPerSecond is the number of requests per second
	// that it can handle then; zero if they are not bounded.
	ColdTime      time.Duration
	ColdPerSecond float64
}

// Limits bounds the size of a caller's request and the time that the caller may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// DefaultLimits returns the limits that apply where no configuration states others.
func DefaultLimits() Limits {
	return Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
}

// Problem is a part of a configuration that cannot be understood or is not valid. The rest of the
// configuration is in force.
type Problem struct {
	// Cause is one of the Cause constants.
	Cause string
	// Part names the route, service or limit, and Detail says what is wrong with it.
	Part, Detail string
}

// Causes of Problems, which are values of a metric label.
const (
	// CauseField is a field without which its route or service can be used.
	CauseField = "field"
	// CauseKind is an unknown kind of requests, which are served at most once.
	CauseKind = "kind"
	// CauseRoute is a route of which all requests are refused, or those for a service that is not
	// configured. It is left out if even its host or prefix is not known.
	CauseRoute = "route"
	// CauseService is a service that is left out.
	CauseService = "service"
)

// String returns the problem as it is logged.
func (p Problem) String() string { return p.Cause + " " + p.Part + ": " + p.Detail }

// Config is one version of the configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Problems has what could not be understood when the configuration was read.
	Problems []Problem
}

// Table is a Config indexed for look-up.
type Table struct {
	Config *Config
	// Problems has those of the Config and the routes that are not valid.
	Problems []Problem
	hosts    map[string][]*Entry
	services map[string]*Service
}

// Entry is a route of a Table with the state by which its requests are divided among services.
type Entry struct {
	Route
	totalWeight int
	// requests counts the calls of ChooseService; it is not used if the route has one service.
	requests atomic.Uint64
	// order holds indices into Services. Each index occurs in proportion to its weight and
	// evenly spread.
	order []uint8
}

// maxOrderLength bounds the length of Entry.order, which otherwise is the sum of the weights
// divided by their greatest common divisor.
const maxOrderLength = 1000

// NewTable returns a Table for the configuration. The requests of routes that are not valid are
// refused; Table.Problems says why.
func NewTable(c *Config) *Table {
	t := &Table{Config: c, Problems: slices.Clone(c.Problems), hosts: map[string][]*Entry{}, services: map[string]*Service{}}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for _, r := range c.Routes {
		e := &Entry{Route: r}
		if !strings.HasPrefix(r.Prefix, "/") {
			t.addProblem(r, errors.Errorf("path prefix %q does not begin with a slash; the route is left out", r.Prefix))
			continue
		}
		if err := t.divide(e); err != nil {
			t.addProblem(r, err)
			e.Unserved = err.Error()
		}
		host := normalizeHost(r.Host)
		t.hosts[host] = append(t.hosts[host], e)
	}
	for _, entries := range t.hosts {
		slices.SortStableFunc(entries, func(a, b *Entry) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

func (t *Table) addProblem(r Route, err error) {
	t.Problems = append(t.Problems, Problem{Cause: CauseRoute, Part: r.Name, Detail: err.Error()})
}

// divide sets how the requests of the entry are divided among its services. It returns an error
// for an invalid route.
func (t *Table) divide(e *Entry) error {
	if e.Unserved != "" {
		return errors.New(e.Unserved)
	}
	if !strings.HasSuffix(e.Prefix, "/") {
		// The route takes only what its prefix is certain to match.
		prefix := e.Prefix
		e.Prefix += "/"
		return errors.Errorf("path prefix %q does not end with a slash", prefix)
	}
	if len(e.Services) == 0 || len(e.Services) > 255 {
		return errors.Errorf("the route has %d services, want 1 to 255", len(e.Services))
	}
	unknown := 0
	for _, s := range e.Services {
		if t.services[s.Service] == nil {
			unknown++
			t.addProblem(e.Route, errors.Errorf("service %q is not configured", s.Service))
		}
		if s.Weight < 0 {
			return errors.Errorf("weight %d of service %q is negative", s.Weight, s.Service)
		}
		e.totalWeight += s.Weight
	}
	if e.totalWeight <= 0 || e.totalWeight > maxTotalWeight {
		return errors.Errorf("the weights add up to %d, want 1 to %d", e.totalWeight, maxTotalWeight)
	}
	if unknown == len(e.Services) {
		return errors.New("none of its services is configured")
	}
	e.order = interleave(e.Services, e.totalWeight)
	return nil
}

// maxTotalWeight bounds the sum of the weights of a route.
const maxTotalWeight = 1 << 30

// interleave returns indices into services in the order of smooth weighted round robin, so
// that any run of consecutive requests is divided closely by the weights.
func interleave(services []WeightedService, total int) []uint8 {
	divisor := total
	for _, s := range services {
		divisor = gcd(divisor, s.Weight)
	}
	length := min(total/divisor, maxOrderLength)
	order := make([]uint8, length)
	credit := make([]int, len(services))
	for i := range order {
		best := 0
		for j, s := range services {
			credit[j] += s.Weight
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

// normalizeHost returns the host in lower case without its port.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Lookup returns the entry for the host with the longest prefix of the path, or nil.
func (t *Table) Lookup(host, path string) *Entry {
	for _, e := range t.hosts[normalizeHost(host)] {
		if strings.HasPrefix(path, e.Prefix) {
			return e
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// ChooseService returns the name of the service for the next request. If that service is not
// configured, the request is refused: the other services keep their shares. Each VM should pass a
// seed of its own, so that the VMs start at different places in the order.
func (e *Entry) ChooseService(seed uint64) string {
	if len(e.Services) == 1 {
		return e.Services[0].Service
	}
	n := e.requests.Add(1) + seed
	return e.Services[e.order[n%uint64(len(e.order))]].Service
}
