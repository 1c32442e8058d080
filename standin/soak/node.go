package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// restartDelay is how long a process that has ended stays down before it is started again,
// as on the platform.
const restartDelay = 300 * time.Millisecond

// node is a basiltally-node process, which is started again whenever it ends.
type node struct {
	name, binary, settingsPath, logPath string
	callerAddress, readyAddress         string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// stopped is set once the process must not be started again.
	stopped bool
	// frozen is set between SIGSTOP and SIGCONT.
	frozen bool
	// disturbedAt is the last instant at which the node was disturbed, other than by
	// SIGTERM. terminatedAt is the instant of the last SIGTERM.
	disturbedAt, terminatedAt time.Time
	// contactLostAt is the last instant at which the process was stopped or its link to the store disturbed.
	contactLostAt time.Time
	// startedAt is when the present process was started.
	startedAt time.Time
}

const nodeSettingsFormat = `[process]
vm = %s
region = %s
data_centre = %s
[log]
format = json
[telemetry]
listen = %s
[store]
address = %s
timeout = 1500ms
[peer]
listen = %s
seeds = %s
[gateway]
listen = %s
ready_listen = %s
regions = %s
stop_limit = %s
%s[shard]
relay_above = %d
`

// start starts the process, and watches it in the background.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	out, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open the log of "+n.name)
	}
	cmd := exec.Command(n.binary, n.settingsPath)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		out.Close()
		return errors.Wrap(err, "start "+n.name)
	}
	n.cmd, n.done, n.frozen, n.startedAt = cmd, make(chan struct{}), false, time.Now()
	go n.watch(cmd, out, n.done)
	return nil
}

// watch waits until the process ends, and starts it again unless the node is stopped.
func (n *node) watch(cmd *exec.Cmd, out *os.File, done chan struct{}) {
	err := cmd.Wait()
	fmt.Fprintf(out, "process ended: %v\n", err)
	out.Close()
	close(done)
	time.Sleep(restartDelay)
	n.mu.Lock()
	stopped := n.stopped
	n.mu.Unlock()
	if !stopped {
		if err := n.start(); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
}

// signal sends a signal to the node's process and records it as a disturbance, unless it is
// SIGHUP.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s != syscall.SIGHUP {
		n.contactLostAt = time.Now()
	}
	switch s {
	case syscall.SIGTERM:
		n.terminatedAt = time.Now()
	case syscall.SIGSTOP:
		n.frozen, n.disturbedAt = true, time.Now()
	case syscall.SIGCONT:
		n.frozen, n.disturbedAt = false, time.Now()
	case syscall.SIGHUP:
	default:
		n.disturbedAt = time.Now()
	}
	// An error means that the process has already ended.
	_ = n.cmd.Process.Signal(s)
}

// started returns when the present process was started.
func (n *node) started() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.startedAt
}

// noteDisturbed records a disturbance of the node's links.
func (n *node) noteDisturbed() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disturbedAt = time.Now()
}

// noteContactLost records a disturbance of the node's link to the store.
func (n *node) noteContactLost() {
	n.noteDisturbed()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.contactLostAt = n.disturbedAt
}

// inContactSince reports whether the node has run and its link to the store has not been disturbed since the
// instant.
func (n *node) inContactSince(since time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.frozen && n.contactLostAt.Before(since)
}

// undisturbedSince reports whether the node has not been disturbed since the instant,
// SIGTERM included.
func (n *node) undisturbedSince(since time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.frozen && n.disturbedAt.Before(since) && n.terminatedAt.Before(since)
}

// onlyTerminatedSince reports whether the node was sent SIGTERM after the instant and has
// not been disturbed otherwise since then.
func (n *node) onlyTerminatedSince(since time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.frozen && n.disturbedAt.Before(since) && n.terminatedAt.After(since)
}

// kill kills the process, without a restart, and waits until it has ended.
func (n *node) kill() {
	n.mu.Lock()
	n.stopped = true
	done := n.done
	n.mu.Unlock()
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	<-done
}

// isReady reports whether the process answers that it is ready. It calls the endpoint that the
// platform's load balancer uses.
func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + n.readyAddress + "/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// newNode returns a node that is not started yet, and writes its settings file.
func newNode(o Options, dir string, i int, nextAddress func() string, peer, store, seeds string) (*node, error) {
	name := fmt.Sprintf("vm%d", i)
	n := &node{
		name: name, binary: filepath.Join(o.Binaries, "basiltally-node"),
		settingsPath: filepath.Join(dir, name+".ini"), logPath: filepath.Join(dir, name+".log"),
		callerAddress: nextAddress(), readyAddress: nextAddress(),
	}
	dataCentre, region, regions, more := fmt.Sprintf("dc%d", i%3), fmt.Sprintf("r%d", i%3), "dc0=r0,dc1=r1,dc2=r2", ""
	if o.HardLoad {
		dataCentre = dataCentres[i%len(dataCentres)]
		region, regions, more = regionOf[dataCentre], hardLoadRegions, hardLoadSettings()
	}
	text := fmt.Sprintf(nodeSettingsFormat, name, region, dataCentre, nextAddress(), store, peer, seeds, n.callerAddress, n.readyAddress, regions, stopGrace, more, o.RelayAbove)
	return n, errors.Wrap(os.WriteFile(n.settingsPath, []byte(text), 0o600), "write the settings")
}
