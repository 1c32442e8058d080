package daemon

import (
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/platform"
	"github.com/basiltally/basiltally/routing"
	"github.com/basiltally/basiltally/store"
)

// configConsumer puts the operator's configuration into force.
type configConsumer struct{ process *nodeProcess }

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
		n.logger.Error("cannot decode the configuration; the last one stays in force", "revision", o.Version, "error", err.Error())
		return
	}
	old := n.routes.Load()
	if old != nil && config.Version <= old.Config.Version {
		n.logger.Info("configuration ignored: its version is not newer", "version", config.Version, "in_force", old.Config.Version, "revision", o.Version)
		return
	}
	table, err := routing.NewTable(config)
	if err != nil {
		n.logger.Error("configuration is not valid; the last one stays in force", "version", config.Version, "error", err.Error())
		return
	}
	n.gateway.SetClasses(table)
	n.routes.Store(table)
	n.setConnectionLimit()
	n.logger.Info("configuration in force", "version", config.Version, "revision", o.Version, "routes", len(config.Routes), "services", len(config.Services))
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
	for _, e := range events {
		if t := c.decode(e.Object); t != nil && !e.Deleted {
			c.process.directory.Put(t)
			continue
		}
		c.process.directory.Remove(platform.TargetID(e.Key))
	}
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
