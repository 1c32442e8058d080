package experiment

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/balance"
	"github.com/basiltally/basiltally/config"
	"github.com/basiltally/basiltally/dispatch"
	"github.com/basiltally/basiltally/frontend"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pipeline"
	"github.com/basiltally/basiltally/pipeline/admit"
	"github.com/basiltally/basiltally/pipeline/identify"
	"github.com/basiltally/basiltally/pipeline/locate"
	"github.com/basiltally/basiltally/pipeline/measure"
	"github.com/basiltally/basiltally/pipeline/respond"
	"github.com/basiltally/basiltally/pipeline/retry"
	"github.com/basiltally/basiltally/target"
	"github.com/basiltally/basiltally/views"
)

const (
	mebibyte    = 1 << 20
	dialTimeout = time.Second
)

// OverheadOptions configures Overhead.
type OverheadOptions struct {
	// Requests is the number of requests on each path: direct, and through an entry.
	Requests int `help:"Number of requests on each path: direct, and through an entry." default:"50000"`
	// Connections is the number of parallel connections; each sends its requests one
	// after the other.
	Connections int `help:"Number of parallel connections; each sends its requests one after the other." default:"8"`
}

// SlowOptions configures SlowReaders.
type SlowOptions struct {
	// Readers is the number of callers that read slowly at the same time.
	Readers int `help:"Number of callers that read slowly at the same time." default:"50"`
	// Bytes is the size of each body in bytes.
	Bytes int `help:"Size of each body in bytes." default:"67108864"`
}

// Prepare makes fasthttp start its background goroutine, which must not be started
// in virtual time. Call it before the first scenario.
func Prepare() {
	w := bufio.NewWriter(io.Discard)
	_ = new(fasthttp.Response).Write(w)
}

// loopback is one entry and one target on loopback ports.
type loopback struct {
	entry, target string
	stop          func() error
}

// startLoopback starts an entry and a target, whose bulk answers have size bytes.
func startLoopback(size int) (*loopback, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the target")
	}
	server := &fasthttp.Server{Handler: func(rc *fasthttp.RequestCtx) { answerLoopback(rc, size) }}
	go func() { _ = server.Serve(ln) }()
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	f := frontend.New(frontend.Options{Address: address, Handler: loopbackHandler(ln.Addr().String()), DrainDelay: 1, DrainLinger: 1})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	select {
	case <-f.Ready():
	case err := <-done:
		cancel()
		return nil, err
	}
	stop := func() error {
		cancel()
		return <-done
	}
	return &loopback{entry: address, target: ln.Addr().String(), stop: stop}, nil
}

func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "find a free port")
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

func answerLoopback(rc *fasthttp.RequestCtx, size int) {
	rc.Response.Header.SetBytesV(target.HeaderRequestID, rc.Request.Header.Peek(target.HeaderRequestID))
	if string(rc.Path()) == "/"+poolBulk+"/1" {
		rc.SetBodyStream(io.LimitReader(zeros{}, int64(size)), size)
		return
	}
	rc.SetBodyString("answer")
}

// zeros is an endless source of zero bytes.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// loopbackHandler returns the pipeline of basiltally-entry without claims.
func loopbackHandler(address string) pipeline.Handler {
	holder := views.NewHolder()
	for _, pool := range []string{poolReads, poolOnce, poolBulk} {
		holder.Apply(&ownership.View{
			Group: ownership.GroupID(pool), Term: 1, Seq: 1,
			Targets:   []ownership.Target{{ID: "t", Address: address}},
			States:    []ownership.TargetState{ownership.TargetReady},
			SlotCount: 1,
			Slots:     []ownership.SlotState{{Owner: 0, Seq: 1}},
		})
	}
	b := bundle()
	selector := balance.NewSelector(balance.SelectorOptions{})
	d := dispatch.New(dispatch.Options{Observer: selector, ShortSlots: 64, BulkSlots: 64, DialBurst: 64})
	return pipeline.Chain(d,
		measure.New(measure.NewMetrics(prometheus.NewRegistry())),
		respond.New(),
		identify.New(identify.Options{Bundle: func() *config.Bundle { return b }}),
		admit.NewAdmission().Filter(),
		retry.New(retry.Options{Views: holder}),
		locate.New(locate.Options{Views: holder, Picker: selector}),
	)
}

// Overhead compares reads through one entry with reads sent directly to the same
// target.
func Overhead(opts OverheadOptions) (Table, error) {
	l, err := startLoopback(0)
	if err != nil {
		return Table{}, err
	}
	table := Table{
		Name:    "overhead",
		Setting: fmt.Sprintf("%d reads over %d connections on loopback; caller, entry and target share one process, whose processor time is divided by the requests.", opts.Requests, opts.Connections),
		Columns: []Column{
			{Name: "p50", Unit: Microseconds, Better: Lower},
			{Name: "p99", Unit: Microseconds, Better: Lower},
			{Name: "processor time per request", Unit: Microseconds, Better: Lower},
		},
	}
	for _, path := range []struct{ name, address string }{{"warm-up", l.entry}, {"direct", l.target}, {"through an entry", l.entry}} {
		values, err := measureReads(path.address, opts)
		if err != nil {
			return table, err
		}
		if path.name != "warm-up" {
			table.Rows = append(table.Rows, Row{"loopback", Policy(path.name), values})
		}
	}
	return table, l.stop()
}

func measureReads(address string, opts OverheadOptions) ([]float64, error) {
	before := processorTime()
	latencies, err := sendReads(address, opts)
	if err != nil {
		return nil, err
	}
	used := processorTime() - before
	slices.Sort(latencies)
	at := func(p float64) float64 {
		return micros(latencies[int(p*float64(len(latencies)-1))])
	}
	return []float64{at(0.5), at(0.99), micros(used) / float64(len(latencies))}, nil
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// sendReads sends the requests over all connections and returns their latencies.
func sendReads(address string, opts OverheadOptions) ([]time.Duration, error) {
	var mu sync.Mutex
	var all []time.Duration
	var failure error
	var wait sync.WaitGroup
	for range opts.Connections {
		wait.Go(func() {
			some, err := sendReadsOn(address, opts.Requests/opts.Connections)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, some...)
			if err != nil {
				failure = err
			}
		})
	}
	wait.Wait()
	return all, failure
}

func sendReadsOn(address string, count int) ([]time.Duration, error) {
	nc, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	defer nc.Close()
	br := bufio.NewReader(nc)
	request := []byte("GET /" + poolReads + "/1 HTTP/1.1\r\nHost: entry\r\n\r\n")
	var resp fasthttp.Response
	var latencies []time.Duration
	for range count {
		started := time.Now()
		if _, err := nc.Write(request); err != nil {
			return latencies, err
		}
		if err := resp.Read(br); err != nil {
			return latencies, err
		}
		if resp.StatusCode() != fasthttp.StatusOK {
			return latencies, errors.Errorf("read failed with status %d: %s", resp.StatusCode(), resp.Body())
		}
		latencies = append(latencies, time.Since(started))
	}
	return latencies, nil
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// SlowReaders measures the memory of the process while callers read large bodies
// through the entry with pauses.
func SlowReaders(opts SlowOptions) (Table, error) {
	l, err := startLoopback(opts.Bytes)
	if err != nil {
		return Table{}, err
	}
	table := Table{
		Name:    "slow readers",
		Setting: fmt.Sprintf("%d callers each take a body of %d MiB with pauses; the heap is that of entry, target and callers in one process, its peak seen in samples every 20 ms.", opts.Readers, opts.Bytes>>20),
		Columns: []Column{
			{Name: "heap before", Unit: Mebibytes, Better: Neutral},
			{Name: "peak heap", Unit: Mebibytes, Better: Lower},
			{Name: "peak per reader", Unit: Mebibytes, Better: Lower},
			{Name: "whole bodies", Unit: Count, Better: Higher},
		},
	}
	before := heapInUse()
	peak, stopSampling := sampleHeap()
	whole, err := readBodies(l.entry, opts)
	highest := max(stopSampling(), *peak)
	if err != nil {
		return table, err
	}
	perReader := (float64(highest) - float64(before)) / float64(opts.Readers)
	table.Rows = []Row{{"loopback", AdaptiveLimits, []float64{
		float64(before) / mebibyte, float64(highest) / mebibyte, perReader / mebibyte, float64(whole),
	}}}
	return table, l.stop()
}

func heapInUse() uint64 {
	runtime.GC()
	return currentHeap()
}

func currentHeap() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse
}

// sampleHeap samples the heap every 20 ms until the returned function is called,
// which returns the peak.
func sampleHeap() (*uint64, func() uint64) {
	peak := new(uint64)
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		tick := time.NewTicker(20 * time.Millisecond)
		defer tick.Stop()
		for {
			*peak = max(*peak, currentHeap())
			select {
			case <-tick.C:
			case <-stop:
				return
			}
		}
	}()
	return peak, func() uint64 {
		close(stop)
		<-done
		return *peak
	}
}

// readBodies reads one body per reader and returns the number of complete bodies.
func readBodies(address string, opts SlowOptions) (int, error) {
	var mu sync.Mutex
	whole := 0
	var failure error
	var wait sync.WaitGroup
	for range opts.Readers {
		wait.Go(func() {
			n, err := readBody(address)
			mu.Lock()
			defer mu.Unlock()
			if n == int64(opts.Bytes) {
				whole++
			}
			if err != nil {
				failure = err
			}
		})
	}
	wait.Wait()
	return whole, failure
}

// readBody reads a body in pieces of 4 MiB with pauses of 100 ms and returns its size.
func readBody(address string) (int64, error) {
	nc, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return 0, err
	}
	defer nc.Close()
	fmt.Fprintf(nc, "GET /%s/1 HTTP/1.1\r\nHost: entry\r\n\r\n", poolBulk)
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return 0, err
	}
	total := int64(0)
	for {
		n, err := io.CopyN(io.Discard, resp.Body, 4<<20)
		total += n
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
		time.Sleep(100 * time.Millisecond)
	}
}
