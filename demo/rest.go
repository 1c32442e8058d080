package demo

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/standin"
	"github.com/basiltally/basiltally/standin/faultstore"
)

const cpuMetric = "process_cpu_seconds_total"

// Rest measures the system without requests for the given time. It prints the calls to the
// object API per second and the mean processor time of the assign processes.
func (c *Cluster) Rest(w io.Writer, observe time.Duration) error {
	time.Sleep(settlePause)
	before, err := c.sampleIdle()
	if err != nil {
		return err
	}
	time.Sleep(observe)
	after, err := c.sampleIdle()
	if err != nil {
		return err
	}
	seconds := observe.Seconds()
	rate := func(a, b int) float64 { return float64(b-a) / seconds }
	callsAfter, callsBefore := after.calls, before.calls
	fmt.Fprintf(w, "object API at rest, %d VMs, calls/s: get %.2f, list %.2f, put %.2f, watch %.2f, VM list %.2f; %d watches wait\n",
		c.opts.VMs, rate(callsBefore.Get, callsAfter.Get), rate(callsBefore.List, callsAfter.List), rate(callsBefore.Put, callsAfter.Put),
		rate(callsBefore.Watch, callsAfter.Watch), rate(callsBefore.ListVMs, callsAfter.ListVMs), callsAfter.Waiting)
	_, err = fmt.Fprintf(w, "assign process at rest: %.2f %% of a core on average\n",
		100*(after.cpu-before.cpu)/seconds/float64(c.opts.VMs))
	return errors.Wrap(err, "print")
}

type idleSample struct {
	calls faultstore.Calls
	// cpu is the total processor time of all assign processes in seconds.
	cpu float64
}

func (c *Cluster) sampleIdle() (idleSample, error) {
	var s idleSample
	resp, err := http.Get("http://" + c.StoreAddress() + standin.CallsPath)
	if err != nil {
		return s, errors.Wrap(err, "read call counts of the object API")
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&s.calls); err != nil {
		return s, errors.Wrap(err, "decode call counts of the object API")
	}
	for vm := range c.opts.VMs {
		cpu, err := readMetric(c.AssignTelemetry(vm), cpuMetric)
		if err != nil {
			return s, err
		}
		s.cpu += cpu
	}
	return s, nil
}

// readMetric returns the value of a metric without labels from a process's telemetry
// address.
func readMetric(address, name string) (float64, error) {
	resp, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		return 0, errors.Wrap(err, "read metrics")
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			v, err := strconv.ParseFloat(value, 64)
			return v, errors.Wrapf(err, "parse value of metric %s", name)
		}
	}
	return 0, errors.Errorf("no metric %s at %s", name, address)
}
