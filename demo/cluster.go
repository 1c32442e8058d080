// Package demo starts the whole system as processes on loopback ports, with
// stand-ins for the platform and the targets. It is used for demonstrations and for
// measurements across processes, and is not part of the product.
package demo

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/store/objectapi"
)

const (
	// startTimeout bounds the wait until a process or a VM is ready.
	startTimeout = 30 * time.Second
	// stopTimeout bounds the wait until a process has ended.
	stopTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond

	// Each cluster takes portsPerCluster consecutive ports. The range lies below the
	// ports that the operating system assigns to outgoing connections.
	firstBasePort   = 18000
	lastBasePort    = 32000
	portsPerCluster = 1000

	// Offsets of the ports of the stand-ins and of the first VM.
	storePort    = 0
	sheetsPort   = 100
	filingsPort  = 200
	drawingsPort = 300
	vmPort       = 400
	portsPerVM   = 10
)

// Offsets of the ports of a VM.
const (
	peerOffset = iota
	entryOffset
	assignTelemetryOffset
	entryTelemetryOffset
)

// Options configures a Cluster.
type Options struct {
	// Binaries is the directory of the built programs; default bin.
	Binaries string
	// BasePort is the first loopback port; zero chooses a range of ports that no other
	// cluster uses.
	BasePort int
	// VMs is the number of VMs, spread over three regions; default 3.
	VMs int
	// Sheets, Filings and Drawings are the numbers of targets; default 3, 2 and 2.
	Sheets, Filings, Drawings int
	// Log receives the logs of all processes; nil discards them.
	Log io.Writer
}

// Cluster is a running system.
type Cluster struct {
	opts Options
	dir  string
	// reserved listens on the last port of the range to reserve it against other
	// clusters; nil if Options.BasePort was given.
	reserved  net.Listener
	mu        sync.Mutex
	processes map[string]*Process
	// codes counts the result codes of the reads that failed in measurements.
	codes codeCounter
}

// Process is one process of the cluster.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

var regions = []string{"south", "west", "north"}

const bundleDocument = `[bundle]
version = 1

[pool "sheets"]
keyed = true
groups = sheets-a
target_slots = 6
target_connections = 110
checks_tokens = true

[pool "filings"]
groups = filings
target_slots = 6
target_connections = 110

[pool "drawings"]
groups = drawings
target_slots = 6
target_connections = 110

[tenant "wales"]

[class "wales/tolerance-sheet"]
kind = keyed-read
path_prefix = /sheets/
pool = sheets
deadline = 5s
max_body = 4096
queue_length = 200

[class "wales/certificate-filing"]
kind = at-most-once
path_prefix = /filings/
pool = filings
deadline = 10s
max_body = 1048576
queue_length = 200

[class "wales/drawing-pack"]
kind = bulk
path_prefix = /drawings/
pool = drawings
deadline = 10m
max_body = 4096
queue_length = 50
`

// Start starts a cluster and waits until every entry is ready.
func Start(o Options) (*Cluster, error) {
	o.Binaries = cmp.Or(o.Binaries, "bin")
	o.VMs = cmp.Or(o.VMs, 3)
	o.Sheets = cmp.Or(o.Sheets, 3)
	o.Filings = cmp.Or(o.Filings, 2)
	o.Drawings = cmp.Or(o.Drawings, 2)
	if o.Log == nil {
		o.Log = io.Discard
	}
	dir, err := os.MkdirTemp("", "basiltally-demo-")
	if err != nil {
		return nil, errors.Wrap(err, "create directory for settings")
	}
	c := &Cluster{opts: o, dir: dir, processes: make(map[string]*Process)}
	if o.BasePort == 0 {
		if err := c.reservePorts(); err != nil {
			return nil, err
		}
	}
	if err := c.startAll(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

// reservePorts takes the first range of ports whose last port is free. It keeps
// listening on that port, so that no other cluster takes the same range.
func (c *Cluster) reservePorts() error {
	for base := firstBasePort; base < lastBasePort; base += portsPerCluster {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+portsPerCluster-1))
		if err == nil {
			c.reserved, c.opts.BasePort = l, base
			return nil
		}
	}
	return errors.New("no free range of loopback ports")
}

func (c *Cluster) startAll() error {
	if err := os.WriteFile(filepath.Join(c.dir, "bundle.ini"), []byte(bundleDocument), 0o600); err != nil {
		return errors.Wrap(err, "write bundle")
	}
	if err := c.startStandin(); err != nil {
		return err
	}
	for i := range c.opts.VMs {
		if err := c.StartVM(i); err != nil {
			return err
		}
	}
	for i := range c.opts.VMs {
		if err := c.WaitReady(i); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startStandin() error {
	var entries []string
	for i := range c.opts.VMs {
		entries = append(entries, fmt.Sprintf("%s=%s/%s/%s", VMName(i), c.vmAddress(i, peerOffset), region(i), dataCentre(i)))
	}
	targets := fmt.Sprintf("sheets=%d@%s,filings=%d@%s,drawings=%d@%s",
		c.opts.Sheets, c.address(sheetsPort), c.opts.Filings, c.address(filingsPort), c.opts.Drawings, c.address(drawingsPort))
	var locations []string
	for i := range regions {
		locations = append(locations, region(i)+"/"+dataCentre(i))
	}
	if err := c.startProcess("standin", "basiltally-standin", "--store", c.StoreAddress(), "--targets", targets,
		"--keyed", "sheets", "--locations", strings.Join(locations, ","), "--entries", strings.Join(entries, ","),
		"--bulk-prefixes", "/drawings/"); err != nil {
		return err
	}
	return waitUntil("object API", func() bool { return returnsOK("http://" + c.StoreAddress() + objectapi.VMsPath) })
}

// StartVM starts the assign process and the entry process of a VM.
func (c *Cluster) StartVM(i int) error {
	if err := c.StartAssign(i); err != nil {
		return err
	}
	return c.StartEntry(i)
}

// StartAssign starts the assign process of a VM.
func (c *Cluster) StartAssign(i int) error {
	path, err := c.writeSettings(VMName(i)+"-assign.ini", c.commonSettings(i, c.AssignTelemetry(i))+fmt.Sprintf(`[peer]
listen = %s
seeds = %s
[assign]
group_slots = 64
[bundle]
file = %s
`, c.vmAddress(i, peerOffset), strings.Join(c.seeds(i), ", "), filepath.Join(c.dir, "bundle.ini")))
	if err != nil {
		return err
	}
	return c.startProcess(VMName(i)+"-assign", "basiltally-assign", path)
}

// commonSettings returns the settings sections that both processes of a VM have.
func (c *Cluster) commonSettings(i int, telemetry string) string {
	return fmt.Sprintf(`[process]
vm = %s
region = %s
data_centre = %s
[telemetry]
listen = %s
pprof = true
[store]
address = %s
`, VMName(i), region(i), dataCentre(i), telemetry, c.StoreAddress())
}

// seeds returns the peer addresses of the other VMs.
func (c *Cluster) seeds(self int) []string {
	var out []string
	for i := range c.opts.VMs {
		if i != self {
			out = append(out, c.vmAddress(i, peerOffset))
		}
	}
	return out
}

// StartEntry starts the entry process of a VM.
func (c *Cluster) StartEntry(i int) error {
	path, err := c.writeSettings(VMName(i)+"-entry.ini", c.commonSettings(i, c.EntryTelemetry(i))+fmt.Sprintf(`[entry]
listen = %s
assign_address = %s
[bundle]
file = %s
`, c.EntryAddress(i), c.vmAddress(i, peerOffset),
		filepath.Join(c.dir, "bundle.ini")))
	if err != nil {
		return err
	}
	return c.startProcess(VMName(i)+"-entry", "basiltally-entry", path)
}

func (c *Cluster) writeSettings(name, text string) (string, error) {
	path := filepath.Join(c.dir, name)
	return path, errors.Wrap(os.WriteFile(path, []byte(text), 0o600), "write settings")
}

func (c *Cluster) startProcess(name, binary string, args ...string) error {
	cmd := exec.Command(filepath.Join(c.opts.Binaries, binary), args...)
	cmd.Stdout, cmd.Stderr = c.opts.Log, c.opts.Log
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", name)
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	c.mu.Lock()
	c.processes[name] = p
	c.mu.Unlock()
	return nil
}

// Signal sends a signal to the process with the name, e.g. "vm1-assign".
func (c *Cluster) Signal(name string, s syscall.Signal) error {
	c.mu.Lock()
	p := c.processes[name]
	c.mu.Unlock()
	if p == nil {
		return errors.Errorf("no process %s", name)
	}
	return errors.Wrapf(p.cmd.Process.Signal(s), "signal %s", name)
}

// Wait waits until a process has ended and returns its error. It returns an error if
// the process does not end within stopTimeout.
func (c *Cluster) Wait(name string) error {
	c.mu.Lock()
	p := c.processes[name]
	c.mu.Unlock()
	select {
	case <-p.done:
		return p.err
	case <-time.After(stopTimeout):
		return errors.Errorf("%s did not stop within %s", name, stopTimeout)
	}
}

// ended reports whether a process has ended.
func (c *Cluster) ended(name string) bool {
	c.mu.Lock()
	p := c.processes[name]
	c.mu.Unlock()
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Stop stops all processes gracefully, entries first and the stand-ins last. It kills
// processes that do not stop in time, and returns an error for the first of them.
func (c *Cluster) Stop() error {
	var first error
	for _, suffix := range []string{"-entry", "-assign", "standin"} {
		if err := c.stopAll(suffix); err != nil && first == nil {
			first = err
		}
	}
	os.RemoveAll(c.dir)
	if c.reserved != nil {
		c.reserved.Close()
	}
	return first
}

func (c *Cluster) stopAll(suffix string) error {
	c.mu.Lock()
	var list []*Process
	for name, p := range c.processes {
		if strings.HasSuffix(name, suffix) {
			list = append(list, p)
		}
	}
	c.mu.Unlock()
	var first error
	for _, p := range list {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range list {
		select {
		case <-p.done:
		case <-time.After(stopTimeout):
			p.cmd.Process.Kill()
			<-p.done
			first = errors.Errorf("%s did not stop in time and was killed", p.Name)
		}
	}
	return first
}

// WaitReady waits until a VM's entry is ready to serve. It returns an error if that
// takes longer than startTimeout or a process of the VM ends.
func (c *Cluster) WaitReady(i int) error {
	name := VMName(i)
	ended := false
	err := waitUntil(name, func() bool {
		ended = c.ended(name+"-entry") || c.ended(name+"-assign")
		return ended || returnsOK("http://"+c.EntryTelemetry(i)+"/readyz")
	})
	if ended {
		return errors.Errorf("a process of %s ended before the VM was ready", name)
	}
	return err
}

// VMName returns the name of the VM with index i, which starts at 0.
func VMName(i int) string { return fmt.Sprintf("vm%d", i+1) }

func region(i int) string { return regions[i%len(regions)] }

func dataCentre(i int) string { return region(i)[:1] + "1" }

// StoreAddress returns the address of the object API.
func (c *Cluster) StoreAddress() string { return c.address(storePort) }

// EntryAddress returns the address on which a VM serves callers.
func (c *Cluster) EntryAddress(i int) string { return c.vmAddress(i, entryOffset) }

// AssignTelemetry returns the operators' address of a VM's assign process.
func (c *Cluster) AssignTelemetry(i int) string { return c.vmAddress(i, assignTelemetryOffset) }

// EntryTelemetry returns the operators' address of a VM's entry process.
func (c *Cluster) EntryTelemetry(i int) string { return c.vmAddress(i, entryTelemetryOffset) }

// SheetTarget returns the address of a target of the keyed pool.
func (c *Cluster) SheetTarget(i int) string { return c.address(sheetsPort + i) }

func (c *Cluster) vmAddress(i, offset int) string { return c.address(vmPort + i*portsPerVM + offset) }

func (c *Cluster) address(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", c.opts.BasePort+port)
}

func returnsOK(url string) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(url)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

func waitUntil(what string, ready func() bool) error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		if ready() {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return errors.Errorf("%s was not ready within %s", what, startTimeout)
}
