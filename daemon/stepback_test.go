package daemon

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "github.com/basiltally/basiltally/standin/platform"
)

// storeEraMetric returns the value of the metric, or -1 if there is none.
func (n *testNode) storeEraMetric(is *is.I) float64 {
	metrics, err := n.process.registry.Gather()
	is.NoErr(err)
	for _, m := range metrics {
		if m.GetName() == "basiltally_store_era" {
			return m.GetMetric()[0].GetGauge().GetValue()
		}
	}
	return -1
}

// stepBack makes the store come back from the copy. What the operator and the targets wrote since comes back a minute later at the most.
func (b *testPlatform) stepBack(older *standin.Copy) {
	b.store.StepBack(older, time.Minute, rand.New(rand.NewPCG(1, 1)))
}

func TestErasOfTheStoreAreLoggedAndMeasured(t *testing.T) {
	is := is.New(t)
	b := newTestPlatform(t)
	n := b.startReadyNode("vm1")
	is.Equal(n.storeEraMetric(is), 1.0)
	b.stepBack(b.store.Copy())
	b.eventually("the later era is known", func() bool { return n.storeEraMetric(is) == 2 })
	is.Equal(b.log.count("era of the store is known"), 1)
	is.Equal(b.log.count("the store has come back from an older copy"), 1)
	is.Equal(b.log.count("era=2 previous=1"), 1)
}

// An older copy of the store has an older configuration, or none.
func TestConfigurationDoesNotGoBackWithTheStore(t *testing.T) {
	is := is.New(t)
	b := newTestPlatform(t)
	empty := b.store.Copy()
	b.putConfig(2, "keyed")
	older := b.store.Copy()
	b.putConfig(3, "keyed")
	n := b.startReadyNode("vm1")
	b.stepBack(older)
	b.eventually("the older configuration is read", func() bool { return b.log.count("configuration ignored: its version is not newer") > 0 })
	is.Equal(n.process.routes.Load().Config.Version, uint64(3))
	b.stepBack(empty)
	b.eventually("the era without a configuration is known", func() bool { return b.log.count("era=3") > 0 })
	b.putConfig(4, "keyed")
	b.eventually("a newer configuration is in force", func() bool { return n.process.routes.Load().Config.Version == 4 })
	is.Equal(b.log.count(`msg="configuration in force"`), 2)
}
