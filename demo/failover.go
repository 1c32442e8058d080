package demo

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/daemon"
	"github.com/basiltally/basiltally/standin"
	"github.com/basiltally/basiltally/standin/faultstore"
	"github.com/basiltally/basiltally/standin/target"
)

const (
	// failoverKeys is the number of keys that are read continuously.
	failoverKeys = 30
	// readPause is the time between two reads of one key.
	readPause = 10 * time.Millisecond
	// observeTime is the time for which keys are read after a loss.
	observeTime = 5 * time.Second
	// settleTime is the time between a repair and the next loss; within it a target
	// that was lost gets slots again.
	settleTime = 4 * time.Second
	// keyedGroup is the group whose assigner is killed.
	keyedGroup = "sheets-a"
)

// lossCase is one scenario of a failover measurement: what is lost, and whether the
// store is down.
type lossCase struct {
	name      string
	target    bool
	assigner  bool
	storeDown bool
}

var lossCases = []lossCase{
	{name: "target", target: true},
	{name: "assigner", assigner: true},
	{name: "target and assigner", target: true, assigner: true},
	{name: "target, store down", target: true, storeDown: true},
	{name: "assigner, store down", assigner: true, storeDown: true},
	{name: "target and assigner, store down", target: true, assigner: true, storeDown: true},
}

// Failover freezes a target, kills the assigner, or both, with the store up and down,
// and prints the longest time without an answer per key.
func (c *Cluster) Failover(w io.Writer, rounds int) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "loss\trounds\tkeys hit\tp50\tp90\tmax\tfailed reads\n")
	for _, l := range lossCases {
		var gaps []time.Duration
		failed := 0
		for range rounds {
			g, f, err := c.failoverRound(l)
			if err != nil {
				return errors.Wrap(err, l.name)
			}
			gaps = append(gaps, g...)
			failed += f
		}
		interrupted := slices.DeleteFunc(slices.Clone(gaps), func(d time.Duration) bool { return d < 200*time.Millisecond })
		slices.Sort(interrupted)
		fmt.Fprintf(table, "%s\t%d\t%d of %d\t%s\t%s\t%s\t%d\n", l.name, rounds, len(interrupted), len(gaps),
			quantile(interrupted, .5), quantile(interrupted, .9), quantile(interrupted, 1), failed)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "result codes of failed reads: %v\n", c.codes.counts)
	return errors.Wrap(err, "print")
}

// codeCounter counts the occurrences of result codes.
type codeCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *codeCounter) count(code string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[string]int)
	}
	c.counts[code]++
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))].Round(time.Millisecond)
}

// failoverRound causes the loss and repairs it. It returns the longest time without
// an answer for each key, and the number of reads that failed.
func (c *Cluster) failoverRound(l lossCase) ([]time.Duration, int, error) {
	assigner, err := c.assignerIndex()
	if err != nil {
		return nil, 0, err
	}
	if l.storeDown {
		if err := c.storeFaults(faultstore.Faults{Hang: true}); err != nil {
			return nil, 0, err
		}
	}
	owner, err := c.ownerIndex("/sheets/key-0")
	if err != nil {
		return nil, 0, err
	}
	stop := make(chan struct{})
	finish := c.readKeys(assigner, stop)
	time.Sleep(time.Second)
	if err := c.injectLoss(l, assigner, owner); err != nil {
		return nil, 0, err
	}
	time.Sleep(observeTime)
	close(stop)
	gaps, failed := finish()
	return gaps, failed, c.repairLoss(l, assigner, owner)
}

// ownerIndex returns the index of the sheets target that answers the path.
func (c *Cluster) ownerIndex(path string) (int, error) {
	a, err := c.request(&http.Client{Timeout: 8 * time.Second}, 0, http.MethodGet, path, "", "")
	if err != nil {
		return 0, err
	}
	var index int
	_, err = fmt.Sscanf(jsonString(a.body, "target"), "sheets-%d", &index)
	return index, errors.Wrapf(err, "parse owner of %s in answer with code %s", path, a.code)
}

func (c *Cluster) injectLoss(l lossCase, assigner, owner int) error {
	if l.target {
		if err := c.targetAction(owner, target.Freeze); err != nil {
			return err
		}
	}
	if l.assigner {
		return c.Signal(VMName(assigner)+"-assign", syscall.SIGKILL)
	}
	return nil
}

func (c *Cluster) repairLoss(l lossCase, assigner, owner int) error {
	if l.storeDown {
		if err := c.storeFaults(faultstore.Faults{}); err != nil {
			return err
		}
	}
	if l.target {
		if err := c.targetAction(owner, target.Unfreeze); err != nil {
			return err
		}
	}
	if l.assigner {
		c.Wait(VMName(assigner) + "-assign")
		if err := c.StartAssign(assigner); err != nil {
			return err
		}
		if err := c.WaitReady(assigner); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return c.waitBalanced()
}

// waitBalanced waits until no target of the keyed group is lost and no slot is
// without an owner.
func (c *Cluster) waitBalanced() error {
	return waitUntil("group "+keyedGroup, func() bool {
		for _, g := range c.status(0).Groups {
			if string(g.Group) == keyedGroup {
				return g.Lost == 0 && g.Unowned == 0
			}
		}
		return false
	})
}

// newReadClient returns a client that keeps a connection for each of the keys that are read.
func newReadClient() *http.Client {
	dialer := net.Dialer{Timeout: time.Second}
	return &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: failoverKeys,
	}}
}

// readKeys reads all keys through the entries of all VMs but the assigner's until
// stop is closed. The returned function waits for the readers and returns the longest
// time without an answer for each key, and the number of reads that failed.
func (c *Cluster) readKeys(assigner int, stop <-chan struct{}) func() ([]time.Duration, int) {
	var wg sync.WaitGroup
	gaps := make([]time.Duration, failoverKeys)
	failures := make([]int, failoverKeys)
	codes := &c.codes
	client := newReadClient()
	for i := range failoverKeys {
		vm := i % c.opts.VMs
		if vm == assigner {
			vm = (vm + 1) % c.opts.VMs
		}
		wg.Go(func() {
			last := time.Now()
			for running := true; running; {
				select {
				case <-stop:
					running = false
				default:
				}
				a, err := c.request(client, vm, http.MethodGet, fmt.Sprintf("/sheets/key-%d", i), "", "")
				if err != nil || a.code != "0" {
					failures[i]++
					codes.count(a.code)
					time.Sleep(readPause)
					continue
				}
				gaps[i] = max(gaps[i], time.Since(last))
				last = time.Now()
				time.Sleep(readPause)
			}
			gaps[i] = max(gaps[i], time.Since(last))
		})
	}
	return func() ([]time.Duration, int) {
		wg.Wait()
		total := 0
		for _, f := range failures {
			total += f
		}
		return gaps, total
	}
}

// assignerIndex returns the index of the VM that assigns the keyed group.
func (c *Cluster) assignerIndex() (int, error) {
	for i := range c.opts.VMs {
		for _, g := range c.status(i).Groups {
			if string(g.Group) == keyedGroup && g.Assigning {
				return i, nil
			}
		}
	}
	return 0, errors.Errorf("no VM assigns group %s", keyedGroup)
}

func (c *Cluster) status(vm int) daemon.StatusReply {
	var s daemon.StatusReply
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + c.AssignTelemetry(vm) + "/v1/status")
	if err != nil {
		return s
	}
	defer resp.Body.Close()
	if json.NewDecoder(resp.Body).Decode(&s) != nil {
		return daemon.StatusReply{}
	}
	return s
}

func (c *Cluster) targetAction(i int, action target.Action) error {
	return postJSON(c.SheetTarget(i), target.Admin{Actions: []target.Action{action}})
}

func (c *Cluster) storeFaults(f faultstore.Faults) error {
	return postJSON(c.StoreAddress(), map[string]any{"faults": f})
}

func postJSON(address string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode call to stand-in")
	}
	resp, err := http.Post("http://"+address+standin.FaultsPath, "application/json", bytes.NewReader(b))
	if err != nil {
		return errors.Wrap(err, "call stand-in")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return errors.Errorf("call stand-in: status %d: %s", resp.StatusCode, text)
	}
	return nil
}
