package daemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/basiltally/basiltally/store"
)

// observeEras logs each era of the store, keeps a metric of the latest one and tells the agent.
func (n *nodeProcess) observeEras() {
	latest := prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "basiltally_store_era", Help: "Latest era of the store, which rises when the store comes back from an older copy; zero if it states none.",
	})
	n.registry.MustRegister(latest)
	n.objects.OnEra(func(era, previous store.Era) {
		latest.Set(float64(era))
		n.agent.BeginEra(era)
		if era == previous {
			n.logger.Info("era of the store is known", "era", era)
			return
		}
		n.logger.Info("the store has come back from an older copy", "era", era, "previous", previous)
	})
}
