package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "github.com/basiltally/basiltally/standin/platform"
)

// bench is a small platform on loopback: a store, targets and VMs of the system.
type bench struct {
	t     *testing.T
	store *standin.Store
	// doors are the VMs' ways to the store.
	doors      []*httptest.Server
	targets    map[string]*standin.Target
	servers    map[string]*httptest.Server
	nodes      []*benchNode
	relayAbove int
	// requests is the number of requests sent.
	requests int
}

type benchNode struct {
	name   string
	router *routerNode
	// refused is set while the store refuses this VM.
	refused  *atomic.Bool
	settings *NodeSettings
	stop     context.CancelFunc
	done     chan error
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, relayAbove: 24, store: standin.NewStore(), targets: map[string]*standin.Target{}, servers: map[string]*httptest.Server{}}
	t.Cleanup(func() {
		b.stopAll()
		b.store.SetFault(standin.Unavailable) // Ends the waiting polls.
		for _, s := range b.doors {
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

func (b *bench) putConfig(version int, safeService string) {
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "hostname": "h", "path_prefix": prefix, "route_type": kind, "service": service,
			"timeout": "3000ms", "target_latency": "1000ms", "max_attempts": 2,
		}
	}
	b.store.Put("config", "main", map[string]any{
		"version":  version,
		"routes":   []any{route("safe", "/safe/", "safe", safeService), route("unsafe", "/unsafe/", "unsafe", "free")},
		"services": []any{map[string]any{"name": "keyed", "max_conns": 100, "sharded": true}, map[string]any{"name": "free", "max_conns": 100}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout": "3s", "idle_timeout": "15s"},
	})
}

func (b *bench) addTarget(id, service string, keyed bool) {
	tg := standin.NewTarget(standin.TargetOptions{ID: id, Service: service, Keyed: keyed, Slots: 6, Queue: 24, Work: 5 * time.Millisecond})
	b.targets[id], b.servers[id] = tg, httptest.NewServer(tg)
	b.store.Put("servers", id, tg.Entry(b.servers[id].Listener.Addr().String(), "dc1", "ready", 1))
}

// nextPort is below the ports that the kernel gives to outgoing connections, which
// could take one between the choice and the listening.
var nextPort = 21000

func freeAddress(t *testing.T) string {
	t.Helper()
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

func (b *bench) startNode(name string) *benchNode {
	refused := &atomic.Bool{}
	door := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refused.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		b.store.ServeHTTP(w, r)
	}))
	b.doors = append(b.doors, door)
	s := &NodeSettings{
		Process: Process{VM: name, Region: "r1", DataCentre: "dc1"},
		Store:   Store{Address: door.Listener.Addr().String(), Timeout: time.Second},
		Peer:    Peer{Listen: freeAddress(b.t)},
		Gateway: GatewaySettings{
			Listen: freeAddress(b.t), ReadyListen: freeAddress(b.t), Regions: []string{"dc1=r1"},
			LameDuck: 100 * time.Millisecond, StopLimit: 5 * time.Second, Memory: 256,
		},
		Repeat: RepeatSettings{Ratio: 0.2, Extra: 50, Window: 10 * time.Second},
		Shard:  ShardSettings{Hold: 1500 * time.Millisecond, HoldMax: 5 * time.Second, RoleLease: 1500 * time.Millisecond, RelayAbove: b.relayAbove},
	}
	s.Telemetry.Listen = freeAddress(b.t)
	ctx, cancel := context.WithCancel(context.Background())
	n := &benchNode{name: name, settings: s, stop: cancel, done: make(chan error, 1), refused: refused}
	n.router = newRouterNode(s, slog.New(slog.DiscardHandler))
	go func() { n.done <- n.router.run(ctx) }()
	b.nodes = append(b.nodes, n)
	return n
}

func (b *bench) startReadyNode(name string) *benchNode {
	n := b.startNode(name)
	b.awaitReady(n)
	return n
}

func (b *bench) awaitReady(n *benchNode) {
	b.eventually("node "+n.name+" is ready", func() bool {
		resp, err := http.Get("http://" + n.settings.Gateway.ReadyListen + "/readiness")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func (b *bench) stopAll() {
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

// eventually waits up to 20 s, far longer than any of the timings under test.
func (b *bench) eventually(what string, ok func() bool) {
	b.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	b.t.Fatalf("not within 20 s: %s", what)
}

// send sends a request through a node and returns its status and body.
func (b *bench) send(n *benchNode, method, path string, key int) (int, string) {
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

// allKeysServed reports whether keys of all parts of the key space are served.
func (b *bench) allKeysServed(n *benchNode) bool {
	for key := 0; key < 65536; key += 8191 {
		if status, body := b.send(n, "GET", "/safe/x", key); status != http.StatusOK {
			b.t.Logf("key %d through %s: %d %s", key, n.name, status, body)
			return false
		}
	}
	return true
}

// confirmed reports whether the store has confirmed the assigner of late.
func (b *bench) confirmed() bool {
	before := b.store.Revision("basiltally-roles", "assigner")
	time.Sleep(600 * time.Millisecond) // More than a third of the role's lease.
	return b.store.Revision("basiltally-roles", "assigner") > before
}

// TestNodesServeThePlatform plays a day in small: three VMs, keyed and free targets,
// a lost target, a lost assigner, a new configuration and an outage of the store; once
// with VMs that all poll the store, once with VMs that leave that to the assigner.
func TestNodesServeThePlatform(t *testing.T) {
	t.Run("each VM polls", func(t *testing.T) { playDay(t, 24) })
	t.Run("the assigner polls", func(t *testing.T) { playDay(t, 1) })
}

func playDay(t *testing.T, relayAbove int) {
	is := is.New(t)
	b := newBench(t)
	b.relayAbove = relayAbove
	nodes := []*benchNode{b.startReadyNode("vm1"), b.startReadyNode("vm2"), b.startReadyNode("vm3")}
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

	// A keyed target ends without a word.
	b.servers["k0"].CloseClientConnections()
	b.servers["k0"].Listener.Close()
	b.store.Delete("servers", "k0")
	b.eventually("the keys of a lost target are served again", func() bool { return b.allKeysServed(nodes[0]) })

	// The first VM, most likely the assigner, stops.
	nodes[0].stop()
	is.NoErr(<-nodes[0].done)
	b.nodes = b.nodes[1:]
	b.eventually("keys are served after a VM has stopped", func() bool { return b.allKeysServed(nodes[1]) })

	// The store is away for longer than a lease lasts, in two ways.
	for _, fault := range []standin.Fault{standin.Unavailable, standin.Reset} {
		b.store.SetFault(fault)
		for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); {
			is.True(b.allKeysServed(nodes[1]))
			status, _ := b.send(nodes[2], "POST", "/unsafe/x", 7)
			is.Equal(status, 200)
		}
		b.store.SetFault(standin.NoFault)
		b.eventually("the role is confirmed again", func() bool { return b.confirmed() })
	}

	b.putConfig(5, "free")
	b.eventually("a new configuration is in force", func() bool {
		_, body := b.send(nodes[1], "GET", "/safe/x", 1)
		return strings.HasPrefix(body, "f")
	})
}

// The store refuses the assigner and another VM. A third takes over, and the refused
// ones follow it though they cannot read who it is.
func TestRefusedVMsFollowTheNextAssigner(t *testing.T) {
	b := newBench(t)
	nodes := []*benchNode{b.startReadyNode("vm1"), b.startReadyNode("vm2"), b.startReadyNode("vm3")}
	b.eventually("all keys are served through all VMs", func() bool {
		return b.allKeysServed(nodes[0]) && b.allKeysServed(nodes[1]) && b.allKeysServed(nodes[2])
	})
	term := func(n *benchNode) uint64 { return n.router.agent.Table("keyed").Version.Term }
	first := term(nodes[0])
	nodes[0].refused.Store(true) // The first to start is the assigner.
	nodes[1].refused.Store(true)
	b.eventually("the VM that is served takes over", func() bool { return term(nodes[2]) > first })
	began := time.Now()
	b.eventually("the refused VMs follow it", func() bool { return term(nodes[0]) > first && term(nodes[1]) > first })
	// Far less than a refusal lasts; without word of it they would wait for the store.
	is.New(t).True(time.Since(began) < 2*time.Second)
}

// An unrepeatable request whose answer is lost is run once and not called refused.
func TestLostAnswerOfAnUnrepeatableRequest(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	n := b.startReadyNode("vm1")
	for _, id := range []string{"f0", "f1", "f2"} {
		b.targets[id].SetLoseAnswers(true)
	}
	before := b.targets["f0"].TotalRuns() + b.targets["f1"].TotalRuns() + b.targets["f2"].TotalRuns()
	status, _ := b.send(n, "POST", "/unsafe/x", 7)
	is.Equal(status, http.StatusBadGateway)
	is.Equal(b.targets["f0"].TotalRuns()+b.targets["f1"].TotalRuns()+b.targets["f2"].TotalRuns(), before+1)
}

// A VM that starts while the store is away refuses requests as not run until it
// knows the configuration.
func TestNodeWithoutConfigurationRefuses(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
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
