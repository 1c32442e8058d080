// Package soak runs the built programs as processes on loopback, disturbs them from
// outside at random from a seed, and checks the system's promises by what callers and
// targets observe.
package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/standin/platform"
)

// Options configures a soak.
type Options struct {
	// Binaries is the directory of the built programs. The default is bin.
	Binaries string
	// Nodes is the number of VMs; the default is 4. Targets is the number of targets of each
	// of the two services; the default is 4.
	Nodes, Targets int
	// Callers is the number of callers of each node. The default is 3.
	Callers int
	// Length is how long new disturbances are started. The default is 12 s.
	Length time.Duration
	// RelayAbove is the nodes' setting relay_above. The default is 2, so that the nodes
	// relay changes.
	RelayAbove int
	// HardLoad adds evacuations, cold and slow targets, restricted routes, slow callers and a hostile
	// target. The other disturbances of a seed stay the same.
	HardLoad bool
	// Only holds the names of the disturbances that are played. The default is all.
	Only []string
	// Dir is the directory of settings and logs. The default is a new directory among the
	// system's temporary files, which is kept if a promise was broken.
	Dir string
	// Out receives a log of the disturbances and the result. The default discards it.
	Out io.Writer
}

func (o Options) withDefaults() Options {
	o.Binaries = cmp.Or(o.Binaries, "bin")
	o.Nodes, o.Targets, o.Callers = cmp.Or(o.Nodes, 4), cmp.Or(o.Targets, 4), cmp.Or(o.Callers, 3)
	o.Length = cmp.Or(o.Length, 12*time.Second)
	o.RelayAbove = cmp.Or(o.RelayAbove, 2)
	if o.Out == nil {
		o.Out = io.Discard
	}
	return o
}

// Bounds that the users' documentation states.
const (
	// settleTime is how long a node or the store must have been undisturbed before the
	// bounds on time apply.
	settleTime = 3 * time.Second
	// drainBound is how long a leaving target may receive requests after its leaving notice
	// was stored.
	drainBound = 2 * time.Second
	// configBound is how long an older configuration may stay in force after a new one was
	// stored.
	configBound = 2 * time.Second
	// recoveryBound is how long after the last disturbance all nodes must serve all keys.
	recoveryBound = 15 * time.Second
	// stopGrace is how long a planned stop may take before SIGKILL.
	stopGrace = 6 * time.Second
	// startLimit bounds the wait until all nodes serve all keys at the start.
	startLimit = 30 * time.Second
)

// Names of the two services: keyed has targets that own keys, free has targets that serve
// any request.
const (
	keyed = "keyed"
	free  = "free"
)

// soak is one run with its stand-ins and processes.
type soak struct {
	opts    Options
	seed    uint64
	dir     string
	rng     *rand.Rand
	checker *checker
	store   *platform.Store
	// storeLinks are the proxies between each node and the store, by node.
	storeLinks  []*proxy
	targetLinks map[string]*proxy
	targets     []*target
	nodes       []*node
	counts      outcomeCounts
	closers     []func()

	mu      sync.Mutex
	version int
	// configWrittenAt is when the configuration of the version was stored. storeDisturbedAt
	// is the last instant at which the store was disturbed.
	configWrittenAt, storeDisturbedAt time.Time
	// stated is what targets state in their answers, by their ids.
	stated map[string]*statements
	// crashing is set while a request comes that crashes targets.
	crashing atomic.Pointer[crashingRequest]
	faults   targetFaults
	// cutting is locked while an outage with targets cut off after it is played.
	cutting sync.Mutex
	// hard is nil without Options.HardLoad.
	hard *hardLoad
}

// target is a stand-in target behind a proxy.
type target struct {
	id, service string
	server      *httptest.Server
	// mu protects the replacement of handler.
	mu          sync.Mutex
	handler     *platform.Target
	link        *proxy
	incarnation int64
	// sequence counts the entries under hard load.
	sequence   int
	number     int
	dataCentre string
	// nextAddress gives the address of the link under hard load.
	nextAddress func() string
	stoppedAt   time.Time
}

// Run runs a soak with the disturbances of the seed and returns the broken promises. It
// fails if Options.Only has an unknown name, the programs cannot be started or do not serve within startLimit.
func Run(ctx context.Context, seed uint64, o Options) ([]string, error) {
	o = o.withDefaults()
	if err := checkNames(o.Only); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &soak{opts: o, seed: seed, stated: map[string]*statements{}, rng: rand.New(rand.NewPCG(seed, 1)), checker: newChecker(), targetLinks: map[string]*proxy{}, version: 1}
	if o.HardLoad {
		s.hard = newHardLoad(s, seed)
	}
	if s.dir = o.Dir; s.dir == "" {
		dir, err := os.MkdirTemp("", "basiltally-soak-")
		if err != nil {
			return nil, errors.Wrap(err, "soak: create the directory")
		}
		s.dir = dir
	}
	defer s.close()
	if err := s.start(); err != nil {
		return nil, err
	}
	if !s.waitServed(time.Now().Add(startLimit)) {
		return nil, errors.Errorf("nodes do not serve all keys %v after the start; logs in %s", startLimit, s.dir)
	}
	callers, stopCallers := context.WithCancel(ctx)
	var calling sync.WaitGroup
	for i, n := range s.nodes {
		for k := range o.Callers {
			c := &caller{
				name: fmt.Sprintf("c%d.%d", i, k), node: n, checker: s.checker, counts: &s.counts,
				rng: rand.New(rand.NewPCG(seed, uint64(100+i*o.Callers+k))), uploads: rand.New(rand.NewPCG(seed, uint64(1000+i*o.Callers+k))),
			}
			if o.HardLoad {
				c.hard = rand.New(rand.NewPCG(seed, uint64(2000+i*o.Callers+k)))
			}
			calling.Go(func() { c.run(callers) })
		}
	}
	s.runDisturbances(ctx)
	if ctx.Err() == nil && !s.waitServed(time.Now().Add(recoveryBound)) {
		s.checker.reportBroken("recovery: not all nodes are ready and serve all keys %v after the last disturbance", recoveryBound)
	}
	stopCallers()
	calling.Wait()
	time.Sleep(callerTimeout) // Requests that nodes forwarded late have run by then.
	broken := s.checker.finalCheck()
	if s.hard != nil {
		s.hard.logCounts()
	}
	fmt.Fprintf(o.Out, "seed %d: %s; %d promises broken\n", seed, s.counts.String(), len(broken))
	if len(broken) == 0 && o.Dir == "" {
		return nil, errors.Wrap(os.RemoveAll(s.dir), "soak: remove the directory")
	}
	return broken, nil
}

func (s *soak) logf(format string, args ...any) {
	fmt.Fprintf(s.opts.Out, "  %s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

func (s *soak) close() {
	for i := len(s.closers) - 1; i >= 0; i-- {
		s.closers[i]()
	}
}

func (s *soak) start() error {
	s.store = platform.NewStore()
	server := httptest.NewServer(s.store)
	s.closers = append(s.closers, func() {
		s.store.SetFault(platform.Unavailable) // Ends the waiting polls.
		server.CloseClientConnections()
		server.Close()
	})
	nextAddress := addressAllocator()
	for i := range s.opts.Targets {
		for _, service := range []string{keyed, free} {
			t := &target{id: fmt.Sprintf("%s%d", service, i), service: service, number: i, dataCentre: "dc1", nextAddress: nextAddress}
			if s.hard != nil {
				t.dataCentre = dataCentres[i%len(dataCentres)]
			}
			if err := s.startTarget(t); err != nil {
				return err
			}
			s.targets = append(s.targets, t)
		}
	}
	s.putConfig()
	if s.hard != nil {
		if err := s.startHostile(); err != nil {
			return err
		}
	}
	return s.startNodes(server.Listener.Addr().String(), nextAddress)
}

// startTarget starts a target, or starts it again. Its address is that of its proxy, which
// stays.
func (s *soak) startTarget(t *target) error {
	t.incarnation++
	options := platform.TargetOptions{
		ID: t.id, Service: t.service, Keyed: t.service == keyed, Slots: 6, Queue: 24, Work: 20 * time.Millisecond, Observer: s,
	}
	if s.hard != nil {
		options = s.hard.options(t, options)
		t.incarnation = max(t.incarnation, time.Now().UnixMilli())
	}
	t.setHandler(platform.NewTarget(options))
	s.applyFaults(t)
	if s.hard != nil && !t.stoppedAt.IsZero() {
		s.hard.started(t, time.Since(t.stoppedAt))
	}
	t.server = httptest.NewUnstartedServer(t.handler)
	t.server.Config.ConnContext = platform.ConnContext
	t.server.Start()
	s.forgetStatements(t.id)
	s.checker.clearHeld(t.id)
	if t.link == nil {
		address, passResets := "127.0.0.1:0", false
		if s.hard != nil {
			// The address is closed while the target is down, and must not be given to outgoing connections.
			address, passResets = t.nextAddress(), true
		}
		link, err := newProxyAt(address, t.server.Listener.Addr().String(), passResets)
		if err != nil {
			return err
		}
		t.link = link
		s.closers = append(s.closers, link.close, func() { t.stop() })
	} else {
		t.link.mu.Lock()
		t.link.server = t.server.Listener.Addr().String()
		t.link.mu.Unlock()
		if s.hard != nil {
			if err := t.link.listen(t.link.address()); err != nil {
				return err
			}
		}
	}
	s.putEntry(t, "ready")
	return nil
}

// setHandler sets the handler of the next incarnation.
func (t *target) setHandler(h *platform.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handler = h
}

// current returns the handler of the present incarnation.
func (t *target) current() *platform.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.handler
}

// stop stops the target's server and resets the connections through its proxy.
func (t *target) stop() {
	t.stoppedAt = time.Now()
	if t.link.passResets {
		t.link.stopListening()
	}
	t.link.resetConns()
	t.handler.Stop() // The server waits for its handlers when it is closed.
	t.server.CloseClientConnections()
	t.server.Close()
}

// putEntry writes the target's entry with its state to the store.
func (s *soak) putEntry(t *target, state string) {
	entry := t.handler.Entry(t.link.address(), t.dataCentre, state, t.incarnation)
	if s.hard != nil {
		// The store makes no new revision of an entry that states the same warm-up again.
		t.sequence++
		entry["status"].(map[string]any)["sequence"] = t.sequence
	}
	s.store.Put("servers", t.id, entry)
	s.checker.noteLeaving(t.id, state != "ready")
}

// Ran implements platform.Observer. It also checks that a leaving target runs no requests
// once drainBound has passed.
func (s *soak) Ran(target, id string, key uint16) {
	s.checker.Ran(target, id, key)
	if c := s.crashing.Load(); c != nil && strings.HasPrefix(id, crashingPrefix) {
		c.ran(target, id)
	}
	if at, ok := s.checker.leavingSince(target); ok && time.Since(at) > drainBound && s.storeUndisturbed(at) {
		if n := s.nodeOf(id); n != nil && n.undisturbedSince(at.Add(-settleTime)) {
			s.checker.reportBroken("leaving targets: %s ran %s sent to %s, %v after its leaving notice was stored", target, id, n.name, time.Since(at))
		}
	}
}

// Ended implements platform.Observer.
func (s *soak) Ended(target, id string, key uint16) { s.checker.Ended(target, id, key) }

// Granted implements platform.Observer.
func (s *soak) Granted(target string, from, to uint16, fence uint64, until time.Time) {
	s.checker.Granted(target, from, to, fence, until)
}

// Released implements platform.Observer.
func (s *soak) Released(target string, from, to uint16) { s.checker.Released(target, from, to) }

// storeUndisturbed reports whether the store was last disturbed more than settleTime before
// the instant.
func (s *soak) storeUndisturbed(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeDisturbedAt.Before(at.Add(-settleTime))
}

// noteStoreDisturbed records a disturbance of the store.
func (s *soak) noteStoreDisturbed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeDisturbedAt = time.Now()
}

// nodeOf returns the node to which a caller's request was sent, or nil for the soak's own
// requests.
func (s *soak) nodeOf(id string) *node {
	var i int
	if _, err := fmt.Sscanf(id, "c%d.", &i); err != nil || i >= len(s.nodes) {
		return nil // This is one of the soak's own requests.
	}
	return s.nodes[i]
}

// putConfig writes the next configuration. Each has a route that no other version has, so that
// a request to it shows whether the version is in force.
func (s *soak) putConfig() {
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "hostname": host, "path_prefix": prefix, "route_type": kind, "service": service,
			"timeout": "1500ms", "target_latency": "300ms", "max_attempts": 2,
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	routes := []any{
		route("keyed", "/keyed/", "safe", keyed), route("free", "/free/", "safe", free), route("once", "/once/", "unsafe", free),
		route("upload", "/upload/", "upload", free),
		route("version", fmt.Sprintf("/version%d/", s.version), "safe", free),
	}
	services := []any{
		map[string]any{"name": keyed, "max_conns": 110, "sharded": true},
		map[string]any{"name": free, "max_conns": 110},
	}
	if s.hard != nil {
		routes = restrict(routes, services)
	}
	s.store.Put("config", "main", map[string]any{
		"version": s.version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout": "3s", "idle_timeout": "15s"},
	})
	s.configWrittenAt = time.Now()
}

// checkConfig requests the route of the last configuration from each node, once
// configBound has passed, and reports undisturbed nodes that do not serve it.
func (s *soak) checkConfig() {
	s.mu.Lock()
	version, at := s.version, s.configWrittenAt
	s.mu.Unlock()
	if time.Since(at) < configBound || !s.storeUndisturbed(at) {
		return
	}
	for _, n := range s.nodes {
		asked := time.Now()
		status, err := s.probe(n, fmt.Sprintf("/version%d/x", version), 0)
		if err == nil && status == http.StatusNotFound && n.undisturbedSince(at.Add(-settleTime)) && s.isNewest(version) {
			s.checker.reportBroken("configurations: %s does not serve version %d, %v after it was stored", n.name, version, asked.Sub(at))
		}
	}
}

// isNewest reports whether the version is the last one written. A later configuration drops
// the version's route.
func (s *soak) isNewest(version int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version == version
}

func (s *soak) startNodes(store string, nextAddress func() string) error {
	peers := make([]string, s.opts.Nodes)
	for i := range peers {
		peers[i] = nextAddress()
	}
	seeds := peers[:min(3, len(peers))]
	for i := range s.opts.Nodes {
		link, err := newProxy(store)
		if err != nil {
			return err
		}
		s.storeLinks = append(s.storeLinks, link)
		n, err := newNode(s.opts, s.dir, i, nextAddress, peers[i], link.address(), strings.Join(seeds, ","))
		if err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
		s.closers = append(s.closers, link.close, n.kill)
	}
	return nil
}

// addressAllocator returns a function that returns free loopback addresses. Their ports are
// below those that the system gives to outgoing connections. The first port depends on the
// process id, so that concurrent soaks rarely collide.
func addressAllocator() func() string {
	port := 20000 + os.Getpid()%100*100
	return func() string {
		for ; ; port++ {
			address := fmt.Sprintf("127.0.0.1:%d", port)
			if ln, err := net.Listen("tcp", address); err == nil {
				ln.Close()
				port++
				return address
			}
		}
	}
}

// probe sends one of the soak's own requests to the node and returns the status.
func (s *soak) probe(n *node, path string, key int) (int, error) {
	return s.send(n, fmt.Sprintf("own-%d", s.checker.nextProbe()), path, key)
}

// send sends a read with the id to the node and returns the status.
func (s *soak) send(n *node, id, path string, key int) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.callerAddress+path, nil)
	if err != nil {
		return 0, err
	}
	req.Host, req.Close = host, true
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Request-Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	req.Header.Set("Shard-Key", fmt.Sprint(key))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}

// waitServed waits until all nodes are ready and serve all parts of the keys. It returns
// false if they do not before the instant.
func (s *soak) waitServed(end time.Time) bool {
	for time.Now().Before(end) {
		if s.allServed() {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

func (s *soak) allServed() bool {
	for _, n := range s.nodes {
		if !n.isReady() {
			return false
		}
		for key := 0; key < 1<<16; key += 1 << 13 {
			if status, err := s.probe(n, "/keyed/x", key); err != nil || status != http.StatusOK {
				return false
			}
		}
	}
	return true
}
