package main

import (
	"bufio"
	"context"
	_ "embed" // For configTemplate.
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	names "github.com/basiltally/basiltally/platform"
	"github.com/basiltally/basiltally/standin/platform"
)

// Figures of the site file sites/pohar-brana.toml and of the users' pages.
const (
	machineDescriptors = 4100
	configApply        = 2 * time.Second
	contact            = 3 * time.Second
	drain              = 2 * time.Second
	connectTimeout     = time.Second
)

// host is the host of all routes.
const host = "jepu9.example"

// targetKind is the kind of the instances' entries in the store.
var targetKind = strings.TrimSuffix(names.TargetPrefix, "/")

// service is a service of the deployment with its instances.
type service struct {
	name      string
	instances int
	keyed     bool
	work      time.Duration
}

// services are those of the site file, with their numbers of instances and mean work.
var services = []service{
	{"stav-svc", 20, true, 100 * time.Millisecond},
	{"zakazka-svc", 13, false, 140 * time.Millisecond},
	{"archiv-svc", 12, false, 82 * time.Millisecond},
}

// deployment is the platform's store, the instances and the machines of the system.
type deployment struct {
	dir      string
	record   *record
	store    *platform.Store
	storeURL string
	machines []*machine
	version  int
	closers  []func()
}

// machine is a machine that runs the command of the deploy file.
type machine struct {
	name, front, ready, control, settings string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// listen serves HTTP on a free loopback port until the deployment is closed.
func (d *deployment) listen(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(ln) }() // It returns when it is closed.
	d.closers = append(d.closers, func() { srv.Close() })
	return ln.Addr().String(), nil
}

// newDeployment starts the store and the instances, and writes the first configuration.
func newDeployment(r *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "basiltally-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, record: r, store: platform.NewStore()}
	d.closers = append(d.closers, func() { os.RemoveAll(dir) })
	if d.storeURL, err = d.listen(d.store); err != nil {
		return d, err
	}
	for _, s := range services {
		for i := range s.instances {
			id := instanceID(s.name, i)
			t := platform.NewTarget(platform.TargetOptions{ID: id, Service: s.name, Keyed: s.keyed, Slots: 6, Queue: 24, Work: s.work})
			address, err := d.listen(t)
			if err != nil {
				return d, err
			}
			d.store.Put(targetKind, id, t.Entry(address, "kosice-a", "ready", time.Now().UnixMilli()))
		}
	}
	d.putConfig()
	return d, nil
}

// instanceID returns the id of an instance of a service.
func instanceID(service string, i int) string { return fmt.Sprintf("i-%s-%d", service, i) }

// configTemplate is the configuration; VERSION stands for its version.
//
//go:embed config.json
var configTemplate string

// putConfig writes the next version of the configuration. Each has a route that no other has.
func (d *deployment) putConfig() {
	d.version++
	text := strings.ReplaceAll(configTemplate, "VERSION", strconv.Itoa(d.version))
	d.store.Put("config", "main", json.RawMessage(text))
	d.record.printf("operator: version %d of the configuration is acknowledged; its new route is %s", d.version, addedPrefix(d.version))
}

func addedPrefix(version int) string { return fmt.Sprintf("/added%d/", version) }

// freeAddresses returns a function that returns free loopback addresses, with ports below those of
// outgoing connections.
func freeAddresses() func() (string, error) {
	port := 20000 + os.Getpid()%100*100
	return func() (string, error) {
		for ; port < 32000; port++ {
			address := fmt.Sprintf("127.0.0.1:%d", port)
			ln, err := net.Listen("tcp", address)
			if err != nil {
				continue
			}
			port++
			return address, ln.Close()
		}
		return "", fmt.Errorf("no free port")
	}
}

// startMachines starts n machines from the template of the deploy file.
func (d *deployment) startMachines(n int) error {
	template, err := os.ReadFile("deploy/node.ini")
	if err != nil {
		return err
	}
	next := freeAddresses()
	var controls []string
	for i := range n {
		m := &machine{name: fmt.Sprintf("front-kosice-a-%d", i+1)}
		for _, address := range []*string{&m.front, &m.ready, &m.control} {
			if *address, err = next(); err != nil {
				return err
			}
		}
		controls = append(controls, m.control)
		d.machines = append(d.machines, m)
	}
	for _, m := range d.machines {
		telemetry, err := next()
		if err != nil {
			return err
		}
		text := strings.NewReplacer(
			"{{node}}", m.name, "{{region}}", "vychod", "{{zone}}", "kosice-a", "{{ip}}:9464", telemetry,
			"{{platform.address}}", d.storeURL, "{{listen.control}}", m.control, "{{listen.front}}", m.front, "{{listen.ready}}", m.ready,
			"{{seeds}}", strings.Join(controls[:min(3, len(controls))], ","),
			"{{#zones}}{{@}}={{.}}{{,}}{{/zones}}", "kosice-a=vychod,zvolen-a=stred,trnava-a=zapad",
			"{{bounds.grace}}", "6s", "{{bounds.drain}}", "2000ms", "{{limits.link_mbps}}", "1000.0", "{{limits.memory_mb}}", "284",
			"{{limits.cpu_share}}", "0.32", "{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.budget_extra}}", "64", "{{bounds.budget_window}}", "10s",
			"{{#bounds.evacuate}}evacuate = {{bounds.evacuate}}{{/bounds.evacuate}}", "", "{{bounds.hold_max}}", "10000ms", "{{#bootstrap}}800ms{{/bootstrap}}{{^bootstrap}}50ms{{/bootstrap}}", "800ms",
			"{{#bounds.warmup_overage}}{{bounds.warmup_overage}}{{/bounds.warmup_overage}}{{^bounds.warmup_overage}}0{{/bounds.warmup_overage}}", "0", "{{#bounds.warmup_slack}}{{bounds.warmup_slack}}{{/bounds.warmup_slack}}{{^bounds.warmup_slack}}0{{/bounds.warmup_slack}}", "0",
			"{{#contracts}}{{.}}{{,}}{{/contracts}}", "",
		).Replace(string(template))
		if strings.Contains(text, "{{") {
			return fmt.Errorf("deploy/node.ini has a placeholder that the stand-in does not know:\n%s", text)
		}
		m.settings = filepath.Join(d.dir, m.name+".ini")
		if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := m.start(d.dir); err != nil {
			return err
		}
		d.closers = append(d.closers, func() { m.kill() })
	}
	return nil
}

// start starts the command of the deploy file with the machine's number of descriptors.
func (m *machine) start(dir string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec target/basiltally-node "$0"`, machineDescriptors), m.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		out.Close()
		return err
	}
	done := make(chan struct{})
	m.cmd, m.done = cmd, done
	go func() {
		_ = cmd.Wait() // How it ended does not matter.
		out.Close()
		close(done)
	}()
	return nil
}

// kill ends the process with SIGKILL and waits until it has ended.
func (m *machine) kill() {
	m.mu.Lock()
	cmd, done := m.cmd, m.done
	m.mu.Unlock()
	_ = cmd.Process.Signal(syscall.SIGKILL) // An error means that it has ended.
	<-done
}

// running reports whether the process has not ended.
func (m *machine) running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.done:
		return false
	default:
		return true
	}
}

// isReady asks for the machine's readiness, on a new connection as the platform does.
func (m *machine) isReady() bool {
	status, _ := ask(m.ready, "GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n", time.Second)
	return status == http.StatusOK
}

// ask sends a request on a new connection and returns the status of the answer.
func ask(address, request string, timeout time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), min(timeout, connectTimeout))
	defer cancel()
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return 0, err
	}
	defer nc.Close()
	return exchange(nc, bufio.NewReader(nc), request, timeout)
}

// awaitReady waits until all machines are ready and serve the newest route.
func (d *deployment) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for i := 0; i < len(d.machines); {
		m := d.machines[i]
		if m.isReady() {
			if status, _ := ask(m.front, getRequest(addedPrefix(d.version)+"x", 0, "close"), time.Second); status == http.StatusOK {
				if status, _ := ask(m.front, getRequest("/stav/x", i*5000, "close"), time.Second); status == http.StatusOK {
					i++
					continue
				}
			}
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s does not serve %v after the start", m.name, limit)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

func (d *deployment) close() {
	for i := len(d.closers) - 1; i >= 0; i-- {
		d.closers[i]()
	}
}
