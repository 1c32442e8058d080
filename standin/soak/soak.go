// Package soak runs the real programs as processes on loopback, disturbs them from
// outside by a seeded plan, and checks from what callers and targets see that the
// system keeps its promises.
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
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/standin/platform"
)

// Options of a soak.
type Options struct {
	// Binaries is the directory of the built programs. Default bin.
	Binaries string
	// Nodes is the number of VMs, Targets that of each of the two services. Defaults 4 and 4.
	Nodes, Targets int
	// Callers is the number of callers of each node. Default 3.
	Callers int
	// Length is how long disturbances come. Default 12 s.
	Length time.Duration
	// RelayAbove is the setting of the nodes. Default 2, so that changes are passed on.
	RelayAbove int
	// Dir receives settings and logs; a new one in the system's place for temporary
	// files by default. It is kept if a promise was broken.
	Dir string
	// Out receives what happens.
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

// Bounds that the users' pages state.
const (
	// contact is how long a node must have been calm for bounds in time to hold.
	contact = 3 * time.Second
	// drainBound is how long a target may get requests after the store took its notice.
	drainBound = 2 * time.Second
	// configBound is how long an older configuration may stay in force.
	configBound = 2 * time.Second
	// recoveryBound is how long all may take to be served after the last disturbance.
	recoveryBound = 15 * time.Second
	// grace is how long a stop may take until SIGKILL.
	grace = 6 * time.Second
	// startLimit bounds the wait until all nodes are ready at the start.
	startLimit = 30 * time.Second
)

const (
	keyed = "keyed"
	free  = "free"
)

// world is one soak.
type world struct {
	opts  Options
	dir   string
	rng   *rand.Rand
	judge *judge
	store *platform.Store
	// links are the proxies: of each node to the store, and before each target.
	storeLinks  []*proxy
	targetLinks map[string]*proxy
	targets     []*target
	nodes       []*node
	counts      counts
	closers     []func()

	mu      sync.Mutex
	version int
	// configAt is when the store took the version; the store was undisturbed since storeAt.
	configAt, storeAt time.Time
}

// target is a stand-in behind a proxy.
type target struct {
	id, service string
	server      *httptest.Server
	handler     *platform.Target
	link        *proxy
	born        int64
}

// Run plays the disturbances of a seed and returns the promises that were broken.
func Run(ctx context.Context, seed uint64, o Options) ([]string, error) {
	o = o.withDefaults()
	w := &world{opts: o, rng: rand.New(rand.NewPCG(seed, 1)), judge: newJudge(), targetLinks: map[string]*proxy{}, version: 1}
	if w.dir = o.Dir; w.dir == "" {
		dir, err := os.MkdirTemp("", "basiltally-soak-")
		if err != nil {
			return nil, errors.Wrap(err, "soak")
		}
		w.dir = dir
	}
	defer w.close()
	if err := w.start(); err != nil {
		return nil, err
	}
	if !w.servedBy(time.Now().Add(startLimit)) {
		return nil, errors.Errorf("not served %v after the start; logs in %s", startLimit, w.dir)
	}
	callers, stopCallers := context.WithCancel(ctx)
	var calling sync.WaitGroup
	for i, n := range w.nodes {
		for k := range o.Callers {
			c := &caller{
				name: fmt.Sprintf("c%d.%d", i, k), node: n, judge: w.judge, counts: &w.counts,
				rng: rand.New(rand.NewPCG(seed, uint64(100+i*o.Callers+k))),
			}
			calling.Go(func() { c.run(callers) })
		}
	}
	w.disturb(ctx)
	if ctx.Err() == nil && !w.servedBy(time.Now().Add(recoveryBound)) {
		w.judge.breaks("recovery: not all is served %v after the last disturbance", recoveryBound)
	}
	stopCallers()
	calling.Wait()
	time.Sleep(callerTimeout) // What was sent on late would run by now.
	broken := w.judge.verdict()
	fmt.Fprintf(o.Out, "seed %d: %s; %d promises broken\n", seed, w.counts.String(), len(broken))
	if len(broken) == 0 && o.Dir == "" {
		return nil, errors.Wrap(os.RemoveAll(w.dir), "soak")
	}
	return broken, nil
}

func (w *world) logf(format string, args ...any) {
	fmt.Fprintf(w.opts.Out, "  %s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

func (w *world) close() {
	for i := len(w.closers) - 1; i >= 0; i-- {
		w.closers[i]()
	}
}

func (w *world) start() error {
	w.store = platform.NewStore()
	server := httptest.NewServer(w.store)
	w.closers = append(w.closers, func() {
		w.store.SetFault(platform.Unavailable) // Ends the waiting polls.
		server.CloseClientConnections()
		server.Close()
	})
	for i := range w.opts.Targets {
		for _, service := range []string{keyed, free} {
			t := &target{id: fmt.Sprintf("%s%d", service, i), service: service}
			if err := w.startTarget(t); err != nil {
				return err
			}
			w.targets = append(w.targets, t)
		}
	}
	w.putConfig()
	return w.startNodes(server.Listener.Addr().String())
}

// startTarget starts a life of a target. The address stays, as the proxy's.
func (w *world) startTarget(t *target) error {
	t.born++
	t.handler = platform.NewTarget(platform.TargetOptions{
		ID: t.id, Service: t.service, Keyed: t.service == keyed, Slots: 6, Queue: 24, Work: 20 * time.Millisecond, Observer: w,
	})
	t.server = httptest.NewServer(t.handler)
	w.judge.restarted(t.id)
	if t.link == nil {
		link, err := newProxy(t.server.Listener.Addr().String())
		if err != nil {
			return err
		}
		t.link = link
		w.closers = append(w.closers, link.close, func() { t.stop() })
	} else {
		t.link.mu.Lock()
		t.link.server = t.server.Listener.Addr().String()
		t.link.mu.Unlock()
	}
	w.enter(t, "ready")
	return nil
}

// stop ends a life of a target.
func (t *target) stop() {
	t.link.reset()
	t.server.CloseClientConnections()
	t.server.Close()
}

// enter writes the target's entry.
func (w *world) enter(t *target, state string) {
	w.store.Put("servers", t.id, t.handler.Entry(t.link.address(), "dc1", state, t.born))
	w.judge.leaves(t.id, state != "ready")
}

// Ran implements platform.Observer.
func (w *world) Ran(target, id string, key uint16) {
	w.judge.Ran(target, id, key)
	if at, ok := w.judge.leftAt(target); ok && time.Since(at) > drainBound && w.calm(at) {
		if n := w.nodeOf(id); n != nil && n.calm(at.Add(-contact)) {
			w.judge.breaks("leaving targets: %s ran %s of %s, %v after its notice", target, id, n.name, time.Since(at))
		}
	}
}

// Granted implements platform.Observer.
func (w *world) Granted(target string, from, to uint16, fence uint64, until time.Time) {
	w.judge.Granted(target, from, to, fence, until)
}

// Released implements platform.Observer.
func (w *world) Released(target string, from, to uint16) { w.judge.Released(target, from, to) }

// calm reports whether the store was undisturbed for contact before the instant and since.
func (w *world) calm(at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.storeAt.Before(at.Add(-contact))
}

func (w *world) storeDisturbed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeAt = time.Now()
}

// nodeOf returns the node that a caller's request was sent to.
func (w *world) nodeOf(id string) *node {
	var i int
	if _, err := fmt.Sscanf(id, "c%d.", &i); err != nil || i >= len(w.nodes) {
		return nil // One of the soak's own requests.
	}
	return w.nodes[i]
}

// putConfig writes the next configuration. Its version is in a route of its own.
func (w *world) putConfig() {
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "hostname": host, "path_prefix": prefix, "route_type": kind, "service": service,
			"timeout": "1500ms", "target_latency": "300ms", "max_attempts": 2,
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.store.Put("config", "main", map[string]any{
		"version": w.version,
		"routes": []any{
			route("keyed", "/keyed/", "safe", keyed), route("free", "/free/", "safe", free), route("once", "/once/", "unsafe", free),
			route("version", fmt.Sprintf("/version%d/", w.version), "safe", free),
		},
		"services": []any{
			map[string]any{"name": keyed, "max_conns": 110, "sharded": true},
			map[string]any{"name": free, "max_conns": 110},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout": "3s", "idle_timeout": "15s"},
	})
	w.configAt = time.Now()
}

// checkConfig asks each calm node for the route of the last configuration.
func (w *world) checkConfig() {
	w.mu.Lock()
	version, at := w.version, w.configAt
	w.mu.Unlock()
	if time.Since(at) < configBound || !w.calm(at) {
		return
	}
	for _, n := range w.nodes {
		asked := time.Now()
		status, err := w.ask(n, fmt.Sprintf("/version%d/x", version), 0)
		if err == nil && status == http.StatusNotFound && n.calm(at.Add(-contact)) && w.isNewest(version) {
			w.judge.breaks("configurations: %s does not know version %d, %v after the store took it", n.name, version, asked.Sub(at))
		}
	}
}

// isNewest reports whether no later configuration was written meanwhile, which drops
// the version's route.
func (w *world) isNewest(version int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version == version
}

func (w *world) startNodes(store string) error {
	next := firstPort()
	peers := make([]string, w.opts.Nodes)
	for i := range peers {
		peers[i] = next()
	}
	seeds := peers[:min(3, len(peers))]
	for i := range w.opts.Nodes {
		link, err := newProxy(store)
		if err != nil {
			return err
		}
		w.storeLinks = append(w.storeLinks, link)
		n, err := newNode(w.opts, w.dir, i, next, peers[i], link.address(), strings.Join(seeds, ","))
		if err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
		w.closers = append(w.closers, link.close, n.end)
	}
	return nil
}

// firstPort returns a function that gives free loopback addresses, below the ports that
// the system gives to outgoing connections. The start depends on the process, so that
// soaks side by side hardly meet.
func firstPort() func() string {
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

// ask sends a request of the soak's own and returns the status.
func (w *world) ask(n *node, path string, key int) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.callers+path, nil)
	if err != nil {
		return 0, err
	}
	req.Host, req.Close = host, true
	req.Header.Set("Attempt-Id", fmt.Sprintf("own-%d", w.judge.nextID()))
	req.Header.Set("Request-Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	req.Header.Set("Shard-Key", fmt.Sprint(key))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}

// servedBy waits until all nodes serve all parts of the keys, at most until the instant.
func (w *world) servedBy(end time.Time) bool {
	for time.Now().Before(end) {
		if w.allServed() {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

func (w *world) allServed() bool {
	for _, n := range w.nodes {
		if !n.isReady() {
			return false
		}
		for key := 0; key < 1<<16; key += 1 << 13 {
			if status, err := w.ask(n, "/keyed/x", key); err != nil || status != http.StatusOK {
				return false
			}
		}
	}
	return true
}
