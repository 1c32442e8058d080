package daemon

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "github.com/basiltally/basiltally/standin/platform"
)

// testPlatform is a small platform on loopback: a store, targets, and VMs that run
// basiltally-node.
type testPlatform struct {
	t     *testing.T
	store *standin.Store
	// storeProxies are the proxies through which the VMs reach the store, one for each VM.
	storeProxies []*httptest.Server
	targets      map[string]*standin.Target
	servers      map[string]*httptest.Server
	nodes        []*testNode
	relayAbove   int
	// regions and evacuate are the settings of the VMs that are started next.
	regions  []string
	evacuate time.Duration
	// refuseEvacuations is set while the store refuses all calls for evacuations.
	refuseEvacuations atomic.Bool
	// coldPerSecond is what the services state of cold targets; zero if they state nothing. warmUp is set for the VMs.
	coldPerSecond float64
	warmUp        WarmUpSettings
	// log is what the VMs have logged; it is printed if the test fails.
	log testLog
	// requests is the number of requests that were sent.
	requests int
}

type testNode struct {
	name    string
	process *nodeProcess
	// refusedByStore is set while the store refuses the requests of this VM.
	refusedByStore *atomic.Bool
	// storeCalls counts the VM's calls of the store for evacuations.
	storeCalls *atomic.Int64
	settings   *NodeSettings
	stop       context.CancelFunc
	done       chan error
}

// testLog keeps what it is written. It is safe for concurrent use.
type testLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *testLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// count returns how many lines have the text.
func (l *testLog) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Count(l.text.Bytes(), []byte(text))
}

func (l *testLog) printIfFailed(t *testing.T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.Failed() {
		t.Log(l.text.String())
	}
}

func newTestPlatform(t *testing.T) *testPlatform {
	b := &testPlatform{t: t, relayAbove: 24, regions: []string{"dc1=r1"}, store: standin.NewStore(), targets: map[string]*standin.Target{}, servers: map[string]*httptest.Server{}}
	t.Cleanup(func() { b.log.printIfFailed(t) })
	t.Cleanup(func() {
		b.stopAll()
		b.store.SetFault(standin.Unavailable) // Ends the polls that are waiting.
		for _, s := range b.storeProxies {
			s.CloseClientConnections()
			s.Close()
		}
		for _, s := range b.servers {
			s.CloseClientConnections()
			s.Close()
		}
	})
	b.putConfig(1, "keyed")
	for i := range 3 {
		b.addTarget(fmt.Sprintf("k%d", i), "keyed", true)
		b.addTarget(fmt.Sprintf("f%d", i), "free", false)
	}
	return b
}

func (b *testPlatform) putConfig(version int, safeService string) {
	b.putConfigWith(version, safeService, 3*time.Second, 1<<20)
}

func (b *testPlatform) putConfigWith(version int, safeService string, timeout time.Duration, maxBodyBytes int) {
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "hostname": "h", "path_prefix": prefix, "route_type": kind, "service": service,
			"timeout": timeout.String(), "target_latency": "1000ms", "max_attempts": 2,
		}
	}
	b.store.Put("config", "main", map[string]any{
		"version":  version,
		"routes":   []any{route("safe", "/safe/", "safe", safeService), route("unsafe", "/unsafe/", "unsafe", "free")},
		"services": []any{b.service("keyed", true), b.service("free", false)},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout": "3s", "idle_timeout": "15s"},
	})
}

func (b *testPlatform) service(name string, keyed bool) map[string]any {
	return standin.ServiceDocument(name, keyed, 100, "8s", b.coldPerSecond)
}

func (b *testPlatform) addTarget(id, service string, keyed bool) {
	b.addTargetIn("dc1", id, service, keyed)
}

func (b *testPlatform) addTargetIn(dataCentre, id, service string, keyed bool) {
	tg := standin.NewTarget(standin.TargetOptions{ID: id, Service: service, Keyed: keyed, Slots: 6, Queue: 24, Work: 5 * time.Millisecond})
	b.targets[id], b.servers[id] = tg, httptest.NewServer(tg)
	b.store.Put("servers", id, tg.Entry(b.servers[id].Listener.Addr().String(), dataCentre, "ready", 1))
}

// nextPort is the next port to try. It is below the ports that the kernel gives to outgoing
// connections: such a connection could take a port between its choice and the call of listen.
var (
	nextPortMu sync.Mutex
	nextPort   = 21000
)

func freeAddress(t *testing.T) string {
	t.Helper()
	nextPortMu.Lock()
	defer nextPortMu.Unlock()
	for ; nextPort < 32000; nextPort++ {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if ln, err := net.Listen("tcp", address); err == nil {
			ln.Close()
			nextPort++
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

func (b *testPlatform) startNode(name string) *testNode {
	refused, storeCalls := &atomic.Bool{}, &atomic.Int64{}
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refused.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if strings.Contains(r.URL.Path, "/"+standin.KindEvacuations) {
			storeCalls.Add(1)
			if b.refuseEvacuations.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		}
		b.store.ServeHTTP(w, r)
	}))
	b.storeProxies = append(b.storeProxies, proxy)
	s := &NodeSettings{
		Process: Process{VM: name, Region: "r1", DataCentre: "dc1"},
		Store:   Store{Address: proxy.Listener.Addr().String(), Timeout: time.Second},
		Peer:    Peer{Listen: freeAddress(b.t)},
		Gateway: GatewaySettings{
			Listen: freeAddress(b.t), ReadyListen: freeAddress(b.t), Regions: b.regions, Evacuate: b.evacuate,
			LameDuck: 100 * time.Millisecond, StopLimit: 5 * time.Second, MemoryMB: 256,
			QuarantineCrashes: 3, QuarantineTime: 10 * time.Minute, CheckIn: 1500 * time.Millisecond,
		},
		Retry:  RetrySettings{Ratio: 0.2, Extra: 50, Window: 10 * time.Second},
		WarmUp: b.warmUp,
		Shard:  ShardSettings{LeaseDuration: 1500 * time.Millisecond, MaxLeaseDuration: 5 * time.Second, RoleLease: 1500 * time.Millisecond, RelayAbove: b.relayAbove},
	}
	s.Telemetry.Listen = freeAddress(b.t)
	ctx, cancel := context.WithCancel(context.Background())
	n := &testNode{name: name, settings: s, stop: cancel, done: make(chan error, 1), refusedByStore: refused, storeCalls: storeCalls}
	n.process = newNodeProcess(s, slog.New(slog.NewTextHandler(&b.log, nil)).With("vm", name))
	go func() { n.done <- n.process.run(ctx) }()
	b.nodes = append(b.nodes, n)
	return n
}

func (b *testPlatform) startReadyNode(name string) *testNode {
	n := b.startNode(name)
	b.awaitReady(n)
	return n
}

func (b *testPlatform) awaitReady(n *testNode) {
	b.eventually("VM "+n.name+" is ready", func() bool {
		resp, err := http.Get("http://" + n.settings.Gateway.ReadyListen + "/readiness")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func (b *testPlatform) stopAll() {
	for _, n := range b.nodes {
		n.stop()
	}
	for _, n := range b.nodes {
		if err := <-n.done; err != nil {
			b.t.Error(err)
		}
	}
	b.nodes = nil
}

// eventually waits up to 20 s for a condition, far longer than any of the timings under test.
func (b *testPlatform) eventually(what string, ok func() bool) {
	b.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	b.t.Fatalf("condition not met within 20 s: %s", what)
}

// send sends a request through a VM and returns the status and body of the answer, or 0
// and the error.
func (b *testPlatform) send(n *testNode, method, path string, key int) (int, string) {
	b.t.Helper()
	b.requests++
	req, err := http.NewRequest(method, "http://"+n.settings.Gateway.Listen+path, strings.NewReader(""))
	if err != nil {
		b.t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Attempt-Id", fmt.Sprint("id-", b.requests))
	req.Header.Set("Request-Deadline-Ms", "2000")
	req.Header.Set("Shard-Key", fmt.Sprint(key))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

// allKeysServed reports whether keys from all parts of the key space are served through n.
func (b *testPlatform) allKeysServed(n *testNode) bool {
	for key := 0; key < 65536; key += 8191 {
		if status, body := b.send(n, "GET", "/safe/x", key); status != http.StatusOK {
			b.t.Logf("key %d through %s: %d %s", key, n.name, status, body)
			return false
		}
	}
	return true
}

// assignerConfirmed reports whether the assigner renews its role in the store.
func (b *testPlatform) assignerConfirmed() bool {
	before := b.store.Revision("basiltally-roles", "assigner")
	time.Sleep(600 * time.Millisecond) // More than a third of the role's lease.
	return b.store.Revision("basiltally-roles", "assigner") > before
}

// Three VMs must serve keyed and free targets through a lost target, a lost assigner, an
// outage of the store and a new configuration. The test runs once with VMs that all poll the
// store, and once with VMs that receive the store's changes from the assigner.
func TestNodesServeThroughFailures(t *testing.T) {
	t.Run("each VM polls", func(t *testing.T) { testNodesThroughFailures(t, 24) })
	t.Run("the assigner polls", func(t *testing.T) { testNodesThroughFailures(t, 1) })
}

func testNodesThroughFailures(t *testing.T, relayAbove int) {
	is := is.New(t)
	b := newTestPlatform(t)
	b.relayAbove = relayAbove
	nodes := []*testNode{b.startReadyNode("vm1"), b.startReadyNode("vm2"), b.startReadyNode("vm3")}
	b.eventually("all keys are served through all VMs", func() bool {
		return b.allKeysServed(nodes[0]) && b.allKeysServed(nodes[1]) && b.allKeysServed(nodes[2])
	})
	status, body := b.send(nodes[0], "GET", "/safe/a?b=%20c", 7)
	is.Equal(status, 200)
	is.True(strings.HasSuffix(body, " /safe/a?b=%20c "))
	status, _ = b.send(nodes[1], "POST", "/unsafe/x", 7)
	is.Equal(status, 200)
	status, _ = b.send(nodes[1], "GET", "/elsewhere/x", 7)
	is.Equal(status, 404)

	// A keyed target stops without notice.
	b.servers["k0"].CloseClientConnections()
	b.servers["k0"].Listener.Close()
	b.store.Delete("servers", "k0")
	b.eventually("the keys of a lost target are served again", func() bool { return b.allKeysServed(nodes[0]) })

	// The first VM, most likely the assigner, stops.
	nodes[0].stop()
	is.NoErr(<-nodes[0].done)
	b.nodes = b.nodes[1:]
	b.eventually("all keys are served after a VM has stopped", func() bool { return b.allKeysServed(nodes[1]) })

	// The store fails in two ways, each time for longer than a lease lasts.
	for _, fault := range []standin.Fault{standin.Unavailable, standin.Reset} {
		b.store.SetFault(fault)
		for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); {
			is.True(b.allKeysServed(nodes[1]))
			status, _ := b.send(nodes[2], "POST", "/unsafe/x", 7)
			is.Equal(status, 200)
		}
		b.store.SetFault(standin.NoFault)
		b.eventually("the assigner renews its role in the store again", func() bool { return b.assignerConfirmed() })
	}

	b.putConfig(5, "free")
	b.eventually("a new configuration is in force", func() bool {
		_, body := b.send(nodes[1], "GET", "/safe/x", 1)
		return strings.HasPrefix(body, "f")
	})
}

// The store refuses the requests of the assigner and of another VM. The third VM must take
// over the role, and the refused VMs must follow it although they cannot read in the store
// which VM it is.
func TestRefusedVMsFollowTheNextAssigner(t *testing.T) {
	b := newTestPlatform(t)
	nodes := []*testNode{b.startReadyNode("vm1"), b.startReadyNode("vm2"), b.startReadyNode("vm3")}
	b.eventually("all keys are served through all VMs", func() bool {
		return b.allKeysServed(nodes[0]) && b.allKeysServed(nodes[1]) && b.allKeysServed(nodes[2])
	})
	term := func(n *testNode) uint64 { return n.process.agent.Table("keyed").Version.Term }
	firstTerm := term(nodes[0])
	nodes[0].refusedByStore.Store(true) // The VM that started first is the assigner.
	nodes[1].refusedByStore.Store(true)
	b.eventually("the VM that the store serves takes over the assigner's role", func() bool { return term(nodes[2]) > firstTerm })
	start := time.Now()
	b.eventually("the VMs that the store refuses follow the new assigner", func() bool { return term(nodes[0]) > firstTerm && term(nodes[1]) > firstTerm })
	// The store still refuses these VMs. Without an announcement of the new assigner, they
	// would wait until the store answers them again.
	is.New(t).True(time.Since(start) < 2*time.Second)
}

// An unsafe request whose answer is lost must run only once and must not be reported as
// refused.
func TestLostAnswerOfUnsafeRequest(t *testing.T) {
	is := is.New(t)
	b := newTestPlatform(t)
	n := b.startReadyNode("vm1")
	for _, id := range []string{"f0", "f1", "f2"} {
		b.targets[id].SetLoseAnswers(true)
	}
	before := b.targets["f0"].TotalRuns() + b.targets["f1"].TotalRuns() + b.targets["f2"].TotalRuns()
	status, _ := b.send(n, "POST", "/unsafe/x", 7)
	is.Equal(status, http.StatusBadGateway)
	is.Equal(b.targets["f0"].TotalRuns()+b.targets["f1"].TotalRuns()+b.targets["f2"].TotalRuns(), before+1)
}

// A VM that starts while the store does not answer must refuse requests as not run until it
// knows the configuration.
func TestNodeWithoutConfigurationRefuses(t *testing.T) {
	is := is.New(t)
	b := newTestPlatform(t)
	b.store.SetFault(standin.Unavailable)
	n := b.startNode("vm1")
	b.eventually("the VM listens", func() bool {
		status, _ := b.send(n, "GET", "/safe/x", 1)
		return status != 0
	})
	status, body := b.send(n, "GET", "/safe/x", 1)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.HasPrefix(body, "1501"))
	b.store.SetFault(standin.NoFault)
	b.awaitReady(n)
	status, _ = b.send(n, "POST", "/unsafe/x", 1)
	is.Equal(status, 200)
}

// A target that states in its answers that it leaves must lose its keys to others, and all VMs must stop sending to it, although
// its entry in the store says that it is ready.
func TestKeysMoveFromTargetThatStatesThatItLeaves(t *testing.T) {
	is := is.New(t)
	b := newTestPlatform(t)
	first, second := b.startReadyNode("vm0"), b.startReadyNode("vm1")
	b.eventually("all keys are served", func() bool { return b.allKeysServed(first) && b.allKeysServed(second) })
	leaving := b.targets["k0"]
	leaving.SetStatements(map[string]string{"Server-Leaving": "1"})
	b.eventually("the target holds no keys", func() bool {
		if !b.allKeysServed(first) { // Only this VM gets the answers.
			return false
		}
		for key := range 65536 / 64 {
			if leaving.Holds(uint16(key * 64)) {
				return false
			}
		}
		return true
	})
	b.eventually("all keys are served", func() bool { return b.allKeysServed(first) && b.allKeysServed(second) })
	before := leaving.TotalRuns()
	for range 3 {
		is.True(b.allKeysServed(second))
	}
	is.Equal(leaving.TotalRuns(), before)
}

// The VMs tell each other of the limit that a target names, and move its keys.
func TestKeysMoveFromTargetThatNamesALimit(t *testing.T) {
	is := is.New(t)
	b := newTestPlatform(t)
	first, second := b.startReadyNode("vm0"), b.startReadyNode("vm1")
	b.eventually("all keys are served", func() bool { return b.allKeysServed(first) && b.allKeysServed(second) })
	limited := b.targets["k0"]
	limited.SetStatements(map[string]string{"Server-Limit": "0.5"})
	keys := func() int {
		n := 0
		for key := range 65536 / 64 {
			if limited.Holds(uint16(key * 64)) {
				n++
			}
		}
		return n
	}
	before := keys()
	is.True(before > 0)
	b.eventually("keys have moved", func() bool {
		b.allKeysServed(first)
		return keys() < before
	})
	known := func() bool {
		for id, target := range second.process.directory.Snapshot().ByID {
			if id == "k0" && !second.process.eligibility.Decide(target.Incarnation()).OK() {
				return true
			}
		}
		return false
	}
	b.eventually("the other VM knows of the limit", func() bool {
		// Without a request of its own, the other VM has at most what the limit allows at once.
		for range 10 {
			second.process.eligibility.Take(second.process.directory.Snapshot().ByID["k0"].Incarnation())
		}
		b.allKeysServed(first)
		return known()
	})
}
