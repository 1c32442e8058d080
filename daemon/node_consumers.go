package daemon

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/platform"
	"github.com/basiltally/basiltally/routing"
	"github.com/basiltally/basiltally/store"
)

// configConsumer puts the operator's configuration into force.
type configConsumer struct {
	process *nodeProcess
	// problems counts the parts of configurations that could not be understood, by cause.
	problems *prometheus.CounterVec
	// refusedSince is the Unix time in seconds since which the newest configuration could not be put
	// into force, or zero.
	refusedSince prometheus.Gauge
	refused      bool
}

// maxLoggedProblems bounds how many problems of a configuration are logged.
const maxLoggedProblems = 5

func newConfigConsumer(n *nodeProcess) *configConsumer {
	c := &configConsumer{
		process: n,
		problems: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "basiltally_config_problems_total", Help: "Parts of configurations that could not be understood or are not valid, by cause.",
		}, []string{"cause"}),
		refusedSince: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "basiltally_config_refused_since_seconds",
			Help: "Unix time since which the newest configuration could not be put into force; zero if it is in force.",
		}),
	}
	n.registry.MustRegister(c.problems, c.refusedSince)
	return c
}

// Replace implements follow.Consumer.
func (c *configConsumer) Replace(objects []store.Object) {
	for _, o := range objects {
		c.apply(o)
	}
}

// Change implements follow.Consumer.
func (c *configConsumer) Change(events []store.Event) {
	for _, e := range events {
		if !e.Deleted {
			c.apply(e.Object)
		}
	}
}

// StoreLost implements follow.Consumer. The last configuration stays in force.
func (c *configConsumer) StoreLost() {}

// StoreRestored implements follow.Consumer.
func (c *configConsumer) StoreRestored() {}

func (c *configConsumer) apply(o store.Object) {
	if o.Key != platform.ConfigKey {
		return
	}
	n := c.process
	config, err := platform.DecodeConfig(o.Value)
	if err != nil {
		c.refuse(o, err)
		return
	}
	old := n.routes.Load()
	if old != nil && config.Version <= old.Config.Version {
		n.logger.Info("configuration ignored: its version is not newer", "version", config.Version, "in_force", old.Config.Version, "revision", o.Version)
		return
	}
	table := routing.NewTable(config)
	n.gateway.SetClasses(table)
	n.routes.Store(table)
	n.setConnectionLimit()
	c.refused = false
	c.refusedSince.Set(0)
	c.reportProblems(table)
	n.logger.Info("configuration in force", "version", config.Version, "revision", o.Version, "routes", len(config.Routes), "services", len(config.Services))
}

// refuse records that a configuration cannot be put into force.
func (c *configConsumer) refuse(o store.Object, err error) {
	if !c.refused {
		c.refused = true
		c.refusedSince.Set(float64(time.Now().Unix()))
	}
	inForce := uint64(0)
	if t := c.process.routes.Load(); t != nil {
		inForce = t.Config.Version
	}
	c.process.logger.Error("cannot decode the configuration; the last one stays in force", "revision", o.Version, "in_force", inForce, "error", err.Error())
}

// reportProblems counts and logs the parts of a configuration that do not serve as written.
func (c *configConsumer) reportProblems(t *routing.Table) {
	if len(t.Problems) == 0 {
		return
	}
	var texts []string
	for _, p := range t.Problems {
		c.problems.WithLabelValues(p.Cause).Inc()
		if len(texts) < maxLoggedProblems {
			texts = append(texts, p.String())
		}
	}
	c.process.logger.Warn("configuration is not valid in parts; the rest is in force", "version", t.Config.Version, "problems", len(t.Problems), "first", texts)
}

// targetConsumer passes the targets' entries to the directory.
type targetConsumer struct {
	process *nodeProcess
	decoder platform.TargetDecoder
}

func newTargetConsumer(n *nodeProcess) *targetConsumer {
	return &targetConsumer{process: n, decoder: platform.TargetDecoder{Regions: n.settings.Load().Gateway.regionByDataCentre()}}
}

// Replace implements follow.Consumer.
func (c *targetConsumer) Replace(objects []store.Object) {
	targets := make([]*fleet.Target, 0, len(objects))
	for _, o := range objects {
		if t := c.decode(o); t != nil {
			targets = append(targets, t)
		}
	}
	c.process.directory.Replace(targets)
	c.process.targetsListed.Store(true)
}

// Change implements follow.Consumer.
func (c *targetConsumer) Change(events []store.Event) {
	changes := make([]fleet.Change, 0, len(events))
	for _, e := range events {
		change := fleet.Change{ID: platform.TargetID(e.Key)}
		if !e.Deleted {
			change.Entry = c.decode(e.Object)
		}
		changes = append(changes, change)
	}
	c.process.directory.Apply(changes)
}

// decode returns nil for an entry that is empty or cannot be decoded.
func (c *targetConsumer) decode(o store.Object) *fleet.Target {
	if len(o.Value) == 0 {
		return nil
	}
	t, err := c.decoder.Decode(o)
	if err != nil {
		c.process.logger.Warn("cannot decode the entry of a target; the target is not used", "key", o.Key, "revision", o.Version, "error", err.Error())
		return nil
	}
	return t
}

// StoreLost implements follow.Consumer.
func (c *targetConsumer) StoreLost() { c.process.directory.StoreLost() }

// StoreRestored implements follow.Consumer.
func (c *targetConsumer) StoreRestored() { c.process.directory.StoreRestored() }
