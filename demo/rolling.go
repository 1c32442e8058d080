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
	// balancerLag is the time after which callers no longer choose a VM that is
	// about to stop.
	balancerDelay = 500 * time.Millisecond
	// afterRestart is the pause between two VMs.
	settlePause = 3 * time.Second
	noVM        = -1
)

// Rolling replaces every VM by a planned stop and a start while keys are read,
// and prints the longest time without an answer per key and the failures.
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

// readAround reads all keys through the VMs in turn, without the avoided one.
func (c *Cluster) readKeysAvoiding(avoided *atomic.Int64, stop <-chan struct{}) func() (gaps []time.Duration, reads, failed int64) {
	var wg sync.WaitGroup
	var reads, failed atomic.Int64
	gaps := make([]time.Duration, failoverKeys)
	client := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: failoverKeys}}
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
