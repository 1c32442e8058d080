package demo

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// balancerDelay is the time between callers no longer choosing a VM and its stop.
	// It simulates the delay of a load balancer.
	balancerDelay = 500 * time.Millisecond
	// settlePause is the pause after the restart of a VM, and before a measurement of
	// the system at rest.
	settlePause = 3 * time.Second
	// noVM means that the readers avoid no VM.
	noVM = -1
)

// Rolling restarts the processes of every VM in turn while keys are read. It prints
// the number of failed reads and the longest time without an answer per key.
func (c *Cluster) Rolling(w io.Writer) error {
	stop := make(chan struct{})
	var avoided atomic.Int64
	avoided.Store(noVM)
	finish := c.readKeysAvoiding(&avoided, stop)
	time.Sleep(time.Second)
	for vm := range c.opts.VMs {
		avoided.Store(int64(vm))
		time.Sleep(balancerDelay)
		if err := c.restart(vm); err != nil {
			close(stop)
			finish()
			return err
		}
		avoided.Store(noVM)
		time.Sleep(settlePause)
	}
	close(stop)
	gaps, reads, failed := finish()
	slices.Sort(gaps)
	_, err := fmt.Fprintf(w, "rolling replacement of %d VMs: %d reads, %d failed, longest time without an answer per key p50 %s, max %s\n",
		c.opts.VMs, reads, failed, quantile(gaps, .5), quantile(gaps, 1))
	return err
}

func (c *Cluster) restart(vm int) error {
	for _, role := range []string{"-entry", "-assign"} {
		name := VMName(vm) + role
		if err := c.Signal(name, syscall.SIGTERM); err != nil {
			return err
		}
		if err := c.Wait(name); err != nil {
			return err
		}
	}
	if err := c.StartVM(vm); err != nil {
		return err
	}
	return c.WaitReady(vm)
}

// readKeysAvoiding reads all keys through the VMs in turn, except the avoided one,
// until stop is closed. The returned function waits for the readers and returns the
// longest time without an answer for each key, and the numbers of reads and failures.
func (c *Cluster) readKeysAvoiding(avoided *atomic.Int64, stop <-chan struct{}) func() (gaps []time.Duration, reads, failed int64) {
	var wg sync.WaitGroup
	var reads, failed atomic.Int64
	gaps := make([]time.Duration, failoverKeys)
	client := newReadClient()
	for i := range failoverKeys {
		wg.Go(func() {
			last := time.Now()
			for turn := i; ; turn++ {
				select {
				case <-stop:
					return
				default:
				}
				vm := turn % c.opts.VMs
				if int64(vm) == avoided.Load() {
					continue
				}
				a, err := c.request(client, vm, http.MethodGet, fmt.Sprintf("/sheets/key-%d", i), "", "")
				reads.Add(1)
				if err != nil || a.code != "0" {
					failed.Add(1)
					c.codes.count(a.code)
				} else {
					gaps[i] = max(gaps[i], time.Since(last))
					last = time.Now()
				}
				time.Sleep(readPause)
			}
		})
	}
	return func() ([]time.Duration, int64, int64) {
		wg.Wait()
		return gaps, reads.Load(), failed.Load()
	}
}
