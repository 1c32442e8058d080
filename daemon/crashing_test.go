package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "github.com/basiltally/basiltally/standin/platform"
)

// Figures of the users' rule on requests that crash targets.
const (
	crashesBeforeRule = 3
	retriesAllowed    = 3
	contact           = 3 * time.Second
)

// crashingCase is a way in which a request crashes the targets that run it.
type crashingCase struct {
	instance standin.InstanceOptions
	// service runs the requests: "keyed" or "free".
	service string
	// others makes other callers send the same request all the while, which harms no target.
	others bool
	// patience is how long the caller of the crashing request waits. Zero: until its time is over.
	patience time.Duration
	// withoutAssigner stops the assigner while the store refuses all VMs, so that no other takes its role.
	withoutAssigner bool
}

// crashCount counts the crashes of one request, and its arrivals that the rule forbids.
type crashCount struct {
	mu      sync.Mutex
	crashes int
	third   time.Time
	late    int
}

// crashTarget reports whether the request crashes the target that begins to run it, and counts it.
func (c *crashCount) crashTarget(r *http.Request) bool {
	if !strings.HasPrefix(r.Header.Get("Attempt-Id"), "crashing-") {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes++
	switch {
	case c.crashes == crashesBeforeRule:
		c.third = time.Now()
	case c.crashes > crashesBeforeRule && time.Since(c.third) > contact:
		c.late++
	}
	return true
}

// Targets went on crashing under a request that had crashed three.
func TestRequestThatCrashedThreeTargetsReachesNoMore(t *testing.T) {
	for name, c := range map[string]crashingCase{
		"connections closed":           {service: "free"},
		"connections reset":            {service: "free", instance: standin.InstanceOptions{Sign: standin.CrashResets}},
		"other connections close late": {service: "keyed", instance: standin.InstanceOptions{Sign: standin.CrashClosesLate}},
		"silent":                       {service: "keyed", instance: standin.InstanceOptions{Sign: standin.CrashFallsSilent, NewID: true, NewAddress: true}},
		"silent, caller leaves":        {service: "keyed", patience: 300 * time.Millisecond, instance: standin.InstanceOptions{Sign: standin.CrashFallsSilent, NewID: true, NewAddress: true}},
		"back at once":                 {service: "free", instance: standin.InstanceOptions{RestartAfter: time.Nanosecond, EntryDelay: 300 * time.Millisecond}},
		"back at once as another":      {service: "free", instance: standin.InstanceOptions{RestartAfter: time.Nanosecond, NewID: true}},
		"back elsewhere":               {service: "keyed", instance: standin.InstanceOptions{NewID: true, NewAddress: true}},
		"address reused":               {service: "free", instance: standin.InstanceOptions{RestartAfter: time.Nanosecond, NewID: true, Successor: "other"}},
		"others send it too":           {service: "keyed", others: true},
		"no assigner":                  {service: "free", withoutAssigner: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playCrashingRequest(t, c)
		})
	}
}

func playCrashingRequest(t *testing.T, c crashingCase) {
	const (
		instances = 8
		attempts  = 11
		pause     = 1500 * time.Millisecond
	)
	is := is.New(t)
	count := &crashCount{}
	b := newTestPlatform(t)
	b.putConfig(2, c.service)
	for id, s := range b.servers { // Instances that can crash take their places.
		b.store.Delete("servers", id)
		s.Close()
	}
	b.servers = nil
	for n := range instances {
		o := c.instance
		o.Store, o.DataCentre, o.Crashes = b.store, "dc1", count.crashTarget
		o.Target = standin.TargetOptions{ID: fmt.Sprintf("t%d", n), Service: c.service, Keyed: c.service == "keyed", Slots: 6, Queue: 24, Work: 5 * time.Millisecond}
		if o.RestartAfter == 0 {
			o.RestartAfter = time.Second
		}
		o.ExpireAfter = 5300 * time.Millisecond // Three check-ins of 1.5 s, and the delay of the platform.
		i, err := standin.StartInstance(o)
		is.NoErr(err)
		t.Cleanup(i.Close)
	}
	if c.withoutAssigner {
		b.startReadyNode("assigner")
		b.eventually("the first VM is the assigner", func() bool { return b.log.count("took over as assigner") == 1 })
	}
	nodes := []*testNode{b.startReadyNode("vm1"), b.startReadyNode("vm2"), b.startReadyNode("vm3")}
	b.eventually("all keys are served through all VMs", func() bool {
		return b.allKeysServed(nodes[0]) && b.allKeysServed(nodes[1]) && b.allKeysServed(nodes[2])
	})
	b.eventually("all VMs know each other", func() bool {
		return !slices.ContainsFunc(nodes, func(n *testNode) bool { vms := n.process.vms.Load(); return vms == nil || len(*vms) != len(b.nodes) })
	})
	if c.withoutAssigner {
		for _, n := range b.nodes {
			n.refusedByStore.Store(true)
		}
		b.nodes[0].stop()
		is.NoErr(<-b.nodes[0].done)
		b.nodes = b.nodes[1:]
		b.eventually("no VM has an assigner", func() bool { return b.log.count("assigner lost") == len(nodes) })
	}
	ctx, cancel := context.WithCancel(t.Context())
	var others sync.WaitGroup
	var refusedOthers atomic.Int64
	others.Go(func() { // The service is in use.
		for n := 0; ctx.Err() == nil; n++ {
			status := sendAs(ctx, nodes[n%len(nodes)], fmt.Sprint("other-", n), fmt.Sprint("/safe/", n), n*7919%65536)
			if strings.Contains(status, "1401") {
				refusedOthers.Add(1)
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	if c.others {
		others.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				_ = sendAs(ctx, nodes[n%len(nodes)], fmt.Sprint("harmless-", n), "/safe/same", 7) // The targets' crashes may end it.
				time.Sleep(400 * time.Millisecond)
			}
		})
	}
	for n := range attempts {
		patience := c.patience
		if patience == 0 {
			patience = 3 * time.Second
		}
		attempt, cancelAttempt := context.WithTimeout(ctx, patience)
		begun := time.Now()
		t.Logf("attempt %d: %s", n, sendAs(attempt, nodes[n%len(nodes)], fmt.Sprint("crashing-", n), "/safe/same", 7))
		cancelAttempt()
		time.Sleep(time.Until(begun.Add(pause)))
	}
	cancel()
	others.Wait()
	count.mu.Lock()
	defer count.mu.Unlock()
	t.Logf("%d crashes, %d later than %s after the third", count.crashes, count.late, contact)
	is.True(count.crashes >= crashesBeforeRule)
	is.True(count.late <= retriesAllowed)
	is.Equal(refusedOthers.Load(), int64(0))
}

// sendAs sends a read through the VM under the given id, and returns what came of it.
func sendAs(ctx context.Context, n *testNode, id, path string, key int) string {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.settings.Gateway.Listen+path, http.NoBody)
	if err != nil {
		return err.Error()
	}
	req.Host = "h"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Request-Deadline-Ms", "1000")
	req.Header.Set("Shard-Key", fmt.Sprint(key))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(resp.StatusCode, " ", string(body))
}
