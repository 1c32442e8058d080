package daemon

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "github.com/basiltally/basiltally/standin/platform"
)

// Guards against keys and requests for a target that has returned cold or states a new warm-up.
func TestColdTargetsAreSpared(t *testing.T) {
	is := is.New(t)
	b := newTestPlatform(t)
	b.coldPerSecond, b.warmUp = 0.1, WarmUpSettings{Overage: 1.5, Slack: 8}
	b.putConfig(2, "keyed")
	first, second := b.startReadyNode("vm0"), b.startReadyNode("vm1")
	b.eventually("all keys are served", func() bool { return b.allKeysServed(first) && b.allKeysServed(second) })
	for _, id := range []string{"k0", "f0"} {
		e := b.targets[id].Entry(b.servers[id].Listener.Addr().String(), "dc1", "ready", 1)
		standin.SetWarmUpLeft(e, "5m")
		b.store.Put("servers", id, e)
	}
	b.eventually("the VMs know that the targets are cold", func() bool {
		for _, n := range b.nodes {
			for _, id := range []string{"k0", "f0"} {
				if _, _, cold := n.process.warmUp.Cold(id); !cold {
					return false
				}
			}
		}
		return true
	})
	before, start := b.targets["f0"].TotalRuns(), time.Now()
	for range 100 {
		status, _ := b.send(second, "POST", "/unsafe/x", 7)
		is.Equal(status, http.StatusOK)
	}
	is.True(float64(b.targets["f0"].TotalRuns()-before) <= 1+0.1*time.Since(start).Seconds())
	b.store.Delete("servers", "f1")
	b.store.Delete("servers", "f2")
	b.eventually("requests are refused for which there are only cold targets", func() bool {
		status, body := b.send(second, "POST", "/unsafe/x", 7)
		return status == http.StatusServiceUnavailable && strings.Contains(body, "cold")
	})
	is.True(float64(b.targets["f0"].TotalRuns()-before) <= 2+0.1*time.Since(start).Seconds())
	b.eventually("the cold target holds no keys", func() bool {
		for key := range 65536 / 64 {
			if b.targets["k0"].Holds(uint16(key * 64)) {
				return false
			}
		}
		return true
	})
	b.eventually("all keys are served", func() bool { return b.allKeysServed(first) && b.allKeysServed(second) })
}

// Without the settings, a VM keeps no state of cold targets.
func TestColdTargetsAreNotBoundedWithoutSettings(t *testing.T) {
	is := is.New(t)
	b := newTestPlatform(t)
	b.coldPerSecond = 0.1
	n := b.startNode("vm0")
	is.True(n.process.warmUp == nil)
	is.True(n.process.coldTarget() == nil)
}
