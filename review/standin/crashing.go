package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	names "github.com/basiltally/basiltally/platform"
	"github.com/basiltally/basiltally/standin/platform"
)

const (
	// crashingPath is the path of the request that crashes each instance that begins to run it.
	crashingPath = "/zakazka/crashing"
	// crashTime is after how long a crashed instance is back.
	crashTime = 3 * time.Second
	// returnPause is the time between two attempts of the caller of that request, and attempts is how
	// often it comes.
	returnPause = 2 * time.Second
	attempts    = 14
	// allowedCrashes and allowedRetries are those of the rule.
	allowedCrashes = 3
	allowedRetries = 3
	// filingsPerSecond is the rate of zakazka on the sheet.
	filingsPerSecond = 233
)

// crashable is an instance that a request can crash. It starts again under the same id.
type crashable struct {
	id, address string
	crashes     *crashes

	mu     sync.Mutex
	target *platform.Target
	server *http.Server
}

// crashes counts what the crashing request has done.
type crashes struct {
	deployment *deployment
	armed      bool

	mu sync.Mutex
	// count is the number of crashes, thirdAt the instant of the third one.
	count   int
	thirdAt time.Time
	// late counts the attempts that reached an instance later than contact after the third crash.
	late int
}

// ServeHTTP implements http.Handler.
func (c *crashable) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	target := c.target
	c.mu.Unlock()
	if c.crashes.armed && strings.HasPrefix(r.URL.Path, crashingPath) && r.Header.Get(names.TargetHeaders().ExpectedTarget) == c.id {
		c.crashes.note(c.id, r.Header.Get(names.CallerHeaders().RequestID))
		go c.crash()
		panic(http.ErrAbortHandler)
	}
	target.ServeHTTP(w, r)
}

// note records that the crashing request has begun to run.
func (c *crashes) note(instance, attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	late := c.count > allowedCrashes && time.Since(c.thirdAt) > contact
	if c.count == allowedCrashes {
		c.thirdAt = time.Now()
	}
	if late {
		c.late++
	}
	c.deployment.record.printf("attempt %s of the crashing request runs at %s, which crashes: crash %d, later than contact after the third: %v", attempt, instance, c.count, late)
}

// start serves on the address, or on a free one at the first start.
func (c *crashable) start(d *deployment) error {
	address := c.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	target := platform.NewTarget(platform.TargetOptions{ID: c.id, Service: "zakazka-svc", Slots: 6, Queue: 24, Work: 140 * time.Millisecond})
	server := &http.Server{Handler: c, ReadHeaderTimeout: time.Minute}
	c.mu.Lock()
	c.address, c.target, c.server = ln.Addr().String(), target, server
	c.mu.Unlock()
	go func() { _ = server.Serve(ln) }() // It returns when it is closed.
	d.store.Put(targetKind, c.id, target.Entry(c.address, "kosice-a", "ready", time.Now().UnixMilli()))
	return nil
}

// crash ends the instance with all that it runs, and starts it again after crashTime.
func (c *crashable) crash() {
	c.mu.Lock()
	server := c.server
	c.mu.Unlock()
	server.Close()
	time.Sleep(crashTime)
	if err := c.start(c.crashes.deployment); err != nil {
		c.crashes.deployment.record.printf("%s could not start again: %v", c.id, err)
	}
}

// playCrashing sends a request that crashes each instance that begins to run it, again and again, beside
// filings of other callers.
func playCrashing(d *deployment, trouble bool) (int, error) {
	c := &crashes{deployment: d, armed: trouble}
	for _, s := range services {
		if s.name != "zakazka-svc" {
			continue
		}
		for i := range s.instances {
			// It takes the place of the instance of that id.
			instance := &crashable{id: instanceID(s.name, i), crashes: c}
			if err := instance.start(d); err != nil {
				return notRun, err
			}
			d.closers = append(d.closers, func() { instance.server.Close() })
		}
	}
	if err := d.startMachines(machineCount); err != nil {
		return notRun, err
	}
	if err := d.awaitReady(30 * time.Second); err != nil {
		return notRun, err
	}
	d.record.printf("%d machines are ready", machineCount)
	time.Sleep(contact)
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	defer clients.Wait()
	defer cancel()
	answered := &counts{byStatus: map[int]int{}}
	clients.Go(func() { file(ctx, d, answered, &clients) })
	time.Sleep(2 * time.Second)
	d.record.printf("filings of other callers so far, by status: %s", answered)
	for range attempts {
		m := d.machines[rand.IntN(len(d.machines))]
		status, _ := ask(m.front, postRequest(crashingPath), 2*time.Second)
		d.record.printf("the crashing request is sent to %s and answered %d", m.name, status)
		time.Sleep(returnPause)
	}
	d.record.printf("filings of other callers, by status (0: no answer): %s", answered)
	c.mu.Lock()
	defer c.mu.Unlock()
	d.record.printf("%d crashes; %d attempts reached instances later than contact after the third, %d may", c.count, c.late, allowedRetries)
	if c.late > allowedRetries {
		return broken, nil
	}
	return held, nil
}

// file sends filings at the rate of the sheet, each on a new connection, to any machine.
func file(ctx context.Context, d *deployment, answered *counts, sending *sync.WaitGroup) {
	tick := time.NewTicker(time.Second / filingsPerSecond)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
			sending.Go(func() {
				status, _ := ask(d.machines[rand.IntN(len(d.machines))].front, postRequest("/zakazka/filing"), 2*time.Second)
				answered.add(status)
			})
		}
	}
}
