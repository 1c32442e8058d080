package daemon

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/platform"
	standin "github.com/basiltally/basiltally/standin/platform"
	"github.com/basiltally/basiltally/store"
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

// An older copy of the store may lack an evacuation that the operator writes again some moments later.
func TestEvacuationMissingAfterAStepBackIsKeptForTheGrace(t *testing.T) {
	is := is.New(t)
	b := newEvacuationTest(t, 24)
	set := b.startReadyNode("vm1").process.evacuations
	c := &evacuationConsumer{process: b.nodes[0].process, listed: true}
	entry := func(dc string, version store.Version) store.Object {
		return store.Object{Key: platform.EvacuationPrefix + dc, Version: version}
	}
	list := func(era store.Era, dataCentres ...string) {
		at := store.NewVersion(era, 1000)
		var objects []store.Object
		for _, dc := range dataCentres {
			objects = append(objects, entry(dc, at))
		}
		is.True(c.replaceUnlessOutdated(objects, at))
	}
	evacuated := func(dc string) bool {
		_, ok := set.Since(dc)
		return ok
	}
	list(1, "dc1", "dc2", "dc3")
	since, _ := set.Since("dc2")
	list(2)
	is.True(evacuated("dc1") && evacuated("dc2") && evacuated("dc3"))
	list(2, "dc2")
	is.True(evacuated("dc1") && evacuated("dc2") && evacuated("dc3"))
	c.Change([]store.Event{{Object: entry("dc3", store.NewVersion(2, 1001)), Deleted: true}}) // The operator ended it.
	is.True(!evacuated("dc3"))
	b.eventually("an evacuation that stays missing ends", func() bool { return !evacuated("dc1") })
	is.True(evacuated("dc2"))
	again, _ := set.Since("dc2")
	is.Equal(again, since)
	list(2) // Not after a step back.
	is.True(!evacuated("dc2"))
}
