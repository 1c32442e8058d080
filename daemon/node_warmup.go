package daemon

import (
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/warmup"
)

// newDirectory creates the directory of targets and, if the settings bound the requests for cold targets, what learns from the
// entries that a target is cold.
func (n *nodeProcess) newDirectory(s *NodeSettings) {
	opts := fleet.DirectoryOptions{Logger: n.logger, ChangedAfter: n.targetsChangedAfter}
	if s.WarmUp.Overage > 0 {
		opts.OnEntry = func(t *fleet.Target, first bool) { n.warmUp.ObserveEntry(t, first) }
	}
	n.directory = fleet.NewDirectory(opts)
	n.warmUp = warmup.New(warmup.Options{
		VM: s.Peer.Listen, Bounds: warmup.Bounds{Overage: s.WarmUp.Overage, Slack: s.WarmUp.Slack}, Service: n.warmUpOf, Directory: n.directory,
		Registerer: n.registry, Logger: n.logger,
	})
}

// warmUpOf returns what is configured for the cold targets of a service, and false while no configuration is known.
func (n *nodeProcess) warmUpOf(service string) (warmup.Service, bool) {
	t := n.routes.Load()
	if t == nil {
		return warmup.Service{}, false
	}
	s := t.Service(service)
	if s == nil {
		return warmup.Service{}, true
	}
	return warmup.Service{WarmUp: s.ColdTime, PerSecond: s.ColdPerSecond}, true
}

// coldTarget returns the function that tells the assigner which targets are cold, or nil if their requests are not bounded.
func (n *nodeProcess) coldTarget() func(*fleet.Target) (float64, bool) {
	if n.warmUp == nil {
		return nil
	}
	return func(t *fleet.Target) (float64, bool) {
		_, perSecond, cold := n.warmUp.Cold(t.ID)
		return perSecond, cold
	}
}

// targetRefused records that the address of a target refuses connections.
func (n *nodeProcess) targetRefused(i fleet.Incarnation) {
	if t := n.directory.Snapshot().ByID[i.ID]; t != nil && t.Born == i.Born {
		n.warmUp.ObserveRestart(t, warmup.CauseRefused)
	}
}
