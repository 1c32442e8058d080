package daemon

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/boottime"
	"github.com/basiltally/basiltally/platform"
	standin "github.com/basiltally/basiltally/standin/platform"
	"github.com/basiltally/basiltally/store"
)

// newEvacuationTest returns a platform with targets in two data centres, of which dc1 can be evacuated.
func newEvacuationTest(t *testing.T, relayAbove int) *testPlatform {
	b := newTestPlatform(t)
	b.relayAbove, b.evacuate, b.regions = relayAbove, 3*time.Second, []string{"dc1=r1", "dc2=r2"}
	b.addTargetIn("dc2", "k3", "keyed", true)
	b.addTargetIn("dc2", "f3", "free", false)
	return b
}

// runsInDC1 returns the number of requests that the targets in dc1 have run.
func (b *testPlatform) runsInDC1() int {
	n := 0
	for _, id := range []string{"k0", "k1", "k2", "f0", "f1", "f2"} {
		n += b.targets[id].TotalRuns()
	}
	return n
}

// servedOutsideDC1 reports whether keyed and other requests are served through n, none of them by a target in dc1.
func (b *testPlatform) servedOutsideDC1(n *testNode) bool {
	before := b.runsInDC1()
	if !b.allKeysServed(n) {
		return false
	}
	for range 8 {
		if status, _ := b.send(n, "POST", "/unsafe/x", 1); status != http.StatusOK {
			return false
		}
	}
	return b.runsInDC1() == before
}

// Guards against an evacuation that is lost with the assigner, in an outage of the store or at the start of a VM.
func TestEvacuationThroughFailures(t *testing.T) {
	t.Run("each VM polls", func(t *testing.T) { testEvacuationThroughFailures(t, 24) })
	t.Run("the assigner polls", func(t *testing.T) { testEvacuationThroughFailures(t, 1) })
}

func testEvacuationThroughFailures(t *testing.T, relayAbove int) {
	is := is.New(t)
	b := newEvacuationTest(t, relayAbove)
	first, second := b.startReadyNode("vm1"), b.startReadyNode("vm2")
	b.eventually("all keys are served", func() bool { return b.allKeysServed(first) && b.allKeysServed(second) })
	b.store.Put(standin.KindEvacuations, "dc1", map[string]any{})
	b.eventually("requests leave the data centre", func() bool { return b.servedOutsideDC1(first) && b.servedOutsideDC1(second) })

	third := b.startReadyNode("vm3") // It must not have to learn of the evacuation first.
	b.eventually("the new VM knows all keys", func() bool {
		before := b.runsInDC1()
		served := b.allKeysServed(third)
		is.Equal(b.runsInDC1(), before)
		return served
	})

	first.stop() // Most likely the assigner.
	is.NoErr(<-first.done)
	b.nodes = b.nodes[1:]
	b.eventually("another VM is the assigner", b.assignerConfirmed)
	b.store.Put(standin.KindEvacuations, "dc1", map[string]any{"again": true}) // Written again.
	b.eventually("requests stay outside", func() bool { return b.servedOutsideDC1(second) && b.servedOutsideDC1(third) })

	b.store.SetFault(standin.Unavailable)
	time.Sleep(2 * time.Second) // Longer than the VMs need to notice.
	is.True(b.servedOutsideDC1(second))
	is.True(b.servedOutsideDC1(third))
	b.store.SetFault(standin.NoFault)
	b.eventually("the role is confirmed again", b.assignerConfirmed)
	is.True(b.servedOutsideDC1(second))

	is.True(second.process.evacuations.EndedAt("dc1").IsZero())
	b.store.Delete(standin.KindEvacuations, "dc1")
	b.eventually("keys and requests return", func() bool {
		return b.allKeysServed(second) && b.allKeysServed(third) && b.targets["k0"].Holds(0) != b.targets["k3"].Holds(0) && !b.servedOutsideDC1(second)
	})
	is.True(!second.process.evacuations.EndedAt("dc1").IsZero())
	is.True(b.log.count("evacuation of data centre began") >= 3)
	is.True(b.log.count("evacuation of data centre ended") >= 2)
}

// Guards against a VM that serves, or assigns keys, before it knows which data centres are being evacuated.
func TestVMIsNotReadyUntilEvacuationsAreRead(t *testing.T) {
	is := is.New(t)
	b := newEvacuationTest(t, 24)
	b.refuseEvacuations.Store(true)
	b.store.Put(standin.KindEvacuations, "dc1", map[string]any{})
	n := b.startNode("vm1")
	b.eventually("the configuration and the targets are known", func() bool {
		return n.process.routes.Load() != nil && n.process.targetsListed.Load()
	})
	is.True(n.process.ready() != nil)
	_, known := n.process.keyedServices()
	is.True(!known)
	status, body := b.send(n, "POST", "/unsafe/x", 1)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, "not known yet"))
	// The assigner was reached before the store. That it has relayed all changes says nothing of those before the first list.
	n.process.feed.SetReader(true, boottime.Now())
	b.refuseEvacuations.Store(false)
	b.awaitReady(n)
	since, ok := n.process.evacuations.Since("dc1")
	is.True(ok)
	is.True(since.IsZero()) // The entry may be of any age.
	b.eventually("all keys are served", func() bool { return b.allKeysServed(n) })
	is.Equal(b.runsInDC1(), 0)
}

// A VM without the setting must make no store call for evacuations and must ignore their entries.
func TestEvacuationsAreOffByDefault(t *testing.T) {
	is := is.New(t)
	b := newEvacuationTest(t, 24)
	b.evacuate = 0
	b.store.Put(standin.KindEvacuations, "dc1", map[string]any{})
	n := b.startReadyNode("vm1")
	b.eventually("all keys are served", func() bool { return b.allKeysServed(n) })
	is.True(!b.servedOutsideDC1(n))
	is.Equal(n.storeCalls.Load(), int64(0))
	is.True(n.process.evacuations == nil)
}

// A VM that the assigner relays changes to must make one call for evacuations at its start, and none for a change.
func TestFollowersMakeNoStoreCallsForEvacuations(t *testing.T) {
	is := is.New(t)
	b := newEvacuationTest(t, 1)
	nodes := []*testNode{b.startReadyNode("vm1"), b.startReadyNode("vm2"), b.startReadyNode("vm3")}
	b.eventually("all keys are served", func() bool {
		return b.allKeysServed(nodes[0]) && b.allKeysServed(nodes[1]) && b.allKeysServed(nodes[2])
	})
	time.Sleep(2 * time.Second) // Longer than a VM that has started waits for the relay.
	calls := func() []int64 {
		var out []int64
		for _, n := range nodes {
			out = append(out, n.storeCalls.Load())
		}
		return out
	}
	before := calls()
	for range 3 {
		b.store.Put(standin.KindEvacuations, "dc1", map[string]any{})
		b.eventually("all VMs know the begin", func() bool {
			return nodes[0].process.evacuations.Any() && nodes[1].process.evacuations.Any() && nodes[2].process.evacuations.Any()
		})
		b.store.Delete(standin.KindEvacuations, "dc1")
		b.eventually("all VMs know the end", func() bool {
			return !nodes[0].process.evacuations.Any() && !nodes[1].process.evacuations.Any() && !nodes[2].process.evacuations.Any()
		})
	}
	after := calls()
	t.Logf("calls by VM: %v before six changes, %v after", before, after)
	callers := 0
	for i := range nodes {
		if after[i] > before[i] {
			callers++
		}
	}
	is.Equal(callers, 1) // The assigner.
}

// Guards against a VM that refuses for ever after it has stood still, and against store calls that the relay saves.
func TestVMServesAgainAfterAStall(t *testing.T) {
	is := is.New(t)
	b := newEvacuationTest(t, 1)
	nodes := []*testNode{b.startReadyNode("vm1"), b.startReadyNode("vm2"), b.startReadyNode("vm3")}
	b.eventually("all keys are served", func() bool {
		return b.allKeysServed(nodes[0]) && b.allKeysServed(nodes[1]) && b.allKeysServed(nodes[2])
	})
	time.Sleep(2 * time.Second) // Longer than a VM that has started waits for the relay.
	for _, fault := range []standin.Fault{standin.NoFault, standin.Unavailable, standin.Hang} {
		b.store.SetFault(fault)
		for _, n := range nodes {
			n.process.stalls.Doubt()
			is.True(!n.process.stalls.Current())
		}
		var before, after [3]int64
		for i, n := range nodes {
			before[i] = n.storeCalls.Load()
		}
		b.eventually("all VMs go on", func() bool {
			return nodes[0].process.stalls.Current() && nodes[1].process.stalls.Current() && nodes[2].process.stalls.Current()
		})
		calls := 0
		for i, n := range nodes {
			after[i] = n.storeCalls.Load()
			if after[i] > before[i] {
				calls++
			}
		}
		t.Logf("fault %d: calls by VM %v before, %v after", fault, before, after)
		if fault == standin.NoFault {
			is.True(calls <= 1) // The assigner.
		}
	}
	is.Equal(b.log.count("source=feed") >= 2, true)
}

// Guards against targets taken for warm by a VM that learns of the begin and the end of an evacuation at once.
func TestTargetsAreColdAfterAnEvacuationThatWasNotSeen(t *testing.T) {
	is := is.New(t)
	b := newEvacuationTest(t, 24)
	b.coldPerSecond, b.warmUp = 0.1, WarmUpSettings{Overage: 1.5, Slack: 8}
	b.putConfig(2, "keyed")
	n := b.startReadyNode("vm1")
	isCold := func(id string) bool {
		_, _, cold := n.process.warmUp.Cold(id)
		return cold
	}
	c := &evacuationConsumer{process: n.process, listed: true}
	event := func(dc string, version store.Version, deleted bool) store.Event {
		return store.Event{Object: store.Object{Key: platform.EvacuationPrefix + dc, Version: version}, Deleted: deleted}
	}
	c.Replace([]store.Object{event("dc1", 1000, false).Object})
	c.Replace(nil)
	is.True(isCold("f0") && !isCold("f3"))
	c.Change([]store.Event{event("dc2", 999, false), event("dc2", 1001, true)}) // Known when the list was read.
	is.True(!isCold("f3"))
	c.Change([]store.Event{event("dc2", 1002, false), event("dc2", 1003, true)})
	is.True(isCold("f3"))
	is.True(!n.process.evacuations.Any())
}

// Guards against a list read after a stall that undoes later changes, which the feed does not return again.
func TestOutdatedListAfterAStallIsIgnored(t *testing.T) {
	is := is.New(t)
	b := newEvacuationTest(t, 24)
	n := b.startReadyNode("vm1")
	c := &evacuationConsumer{process: n.process, listed: true}
	outdated := n.process.feed.KnownRevisions()[platform.EvacuationPrefix]
	b.store.Put(standin.KindEvacuations, "dc1", map[string]any{})
	b.eventually("the evacuation is known", n.process.evacuations.Any)
	is.True(!c.replaceUnlessOutdated(nil, outdated))
	is.True(n.process.evacuations.Any())
	is.True(c.replaceUnlessOutdated(nil, store.NewVersion(outdated.Era(), b.store.Revision(standin.KindEvacuations, "dc1")+1000)))
	is.True(!n.process.evacuations.Any())
}

// A batch that repeats known events must not seem to end an evacuation and to begin it anew, with more time.
func TestRepeatedEventsDoNotRestartAnEvacuation(t *testing.T) {
	is := is.New(t)
	b := newEvacuationTest(t, 24)
	n := b.startNode("vm1")
	b.awaitReady(n)
	set := n.process.evacuations
	c := &evacuationConsumer{process: n.process, listed: true}
	event := func(dc string, version store.Version, deleted bool) store.Event {
		return store.Event{Object: store.Object{Key: platform.EvacuationPrefix + dc, Version: version}, Deleted: deleted}
	}
	c.Change([]store.Event{event("dc7", 10, false)})
	since, ok := set.Since("dc7")
	is.True(ok)
	time.Sleep(10 * time.Millisecond)
	c.Change([]store.Event{event("dc7", 9, true), event("dc7", 10, false), event("dc8", 11, false), event("dc8", 12, true)})
	again, ok := set.Since("dc7")
	is.True(ok)
	is.Equal(again, since)
	_, ok = set.Since("dc8")
	is.True(!ok)
	is.True(set.EndedAt("dc7").IsZero())
}
