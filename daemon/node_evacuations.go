package daemon

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/basiltally/basiltally/boottime"
	"github.com/basiltally/basiltally/platform"
	"github.com/basiltally/basiltally/shard"
	"github.com/basiltally/basiltally/store"
)

// evacuationConsumer passes the entries of data centres that are being evacuated to the set of them.
type evacuationConsumer struct {
	process *nodeProcess
	regions map[string]string

	// mu is held while entries are applied: after a stall, another goroutine reads them too.
	mu sync.Mutex
	// listed is set once the first list was read.
	listed bool
	// newest is the highest revision of an entry that was applied.
	newest store.Version
	// era is that of the last list. missing has the evacuations in force that a list of a later era lacked. They end at
	// missingUntil.
	era          store.Era
	missing      map[string]struct{}
	missingUntil time.Time
}

// evacuationGrace is how long an evacuation stays in force that the store lacks after it has come back from an older copy. The
// operator's entries are written again meanwhile.
const evacuationGrace = 2 * time.Second

func newEvacuationConsumer(n *nodeProcess) *evacuationConsumer {
	n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "basiltally_evacuated_data_centres", Help: "Data centres that are being evacuated, as this VM knows.",
	}, func() float64 { return float64(n.evacuations.Count()) }))
	return &evacuationConsumer{process: n, regions: n.settings.Load().Gateway.regionByDataCentre()}
}

// dataCentre returns the name of the data centre of an entry. The entry's value says nothing.
func dataCentre(o store.Object) string { return strings.TrimPrefix(o.Key, platform.EvacuationPrefix) }

// Replace implements follow.Consumer.
func (c *evacuationConsumer) Replace(objects []store.Object) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replaceLocked(objects, c.process.feed.KnownRevisions()[platform.EvacuationPrefix].Era())
}

// replaceLocked is Replace for a list of an era. c.mu must be held.
func (c *evacuationConsumer) replaceLocked(objects []store.Object, era store.Era) {
	set, now := c.process.evacuations, time.Now()
	revisions := make(map[string]store.Version, len(objects))
	names := make([]string, 0, len(objects))
	for _, o := range objects {
		names = append(names, dataCentre(o))
		revisions[dataCentre(o)] = o.Version
		c.newest = max(c.newest, o.Version)
		delete(c.missing, dataCentre(o))
	}
	if c.listed && era > c.era {
		c.keepMissing(names, now)
	}
	c.era = max(c.era, era)
	for dc := range c.missing {
		names = append(names, dc)
	}
	// The entries in the first list may have been made at any time.
	at := time.Time{}
	if c.listed {
		at = c.changedAfter(now)
	}
	before := make(map[string]time.Time)
	for _, dc := range set.DataCentres() {
		before[dc], _ = set.Since(dc)
	}
	begun, ended := set.Replace(names, at, now)
	c.listed = true
	for _, dc := range ended {
		c.ended(dc, 0, before[dc], now)
	}
	for _, dc := range begun {
		c.logBegin(dc, revisions[dc], at, now)
	}
}

// keepMissing keeps the evacuations in force that are not listed for evacuationGrace. c.mu must be held.
func (c *evacuationConsumer) keepMissing(listed []string, now time.Time) {
	c.missing = make(map[string]struct{})
	for _, dc := range c.process.evacuations.DataCentres() {
		if !slices.Contains(listed, dc) {
			c.missing[dc] = struct{}{}
			c.process.logger.Info("evacuation missing in an older copy of the store; keeping it for the grace period", "data_centre", dc)
		}
	}
	if len(c.missing) > 0 {
		c.missingUntil = now.Add(evacuationGrace)
		time.AfterFunc(evacuationGrace, c.endMissing)
	}
}

// endMissing ends the evacuations whose entries did not return within the grace period.
func (c *evacuationConsumer) endMissing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Before(c.missingUntil) {
		return
	}
	for dc := range c.missing {
		if since, ok := c.process.evacuations.End(dc, now); ok {
			c.ended(dc, 0, since, now)
		}
	}
	clear(c.missing)
}

// Change implements follow.Consumer. Only the last event of a data centre counts: a batch may hold events
// that are known already, and an evacuation that they seem to end and begin again would be given more time.
func (c *evacuationConsumer) Change(events []store.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	set, now := c.process.evacuations, time.Now()
	at := c.changedAfter(now)
	last := make(map[string]int, len(events))
	// begun has the data centres whose evacuation has begun with an event that is not known already.
	begun := make(map[string]bool)
	newest := c.newest
	for i, e := range events {
		last[dataCentre(e.Object)] = i
		if !e.Deleted && e.Version > c.newest {
			begun[dataCentre(e.Object)] = true
			newest = max(newest, e.Version)
		}
	}
	c.newest = newest
	for i, e := range events {
		dc := dataCentre(e.Object)
		if last[dc] != i {
			continue
		}
		delete(c.missing, dc)
		if e.Deleted {
			if since, ok := set.End(dc, now); ok {
				c.ended(dc, e.Version, since, now)
			} else if begun[dc] {
				// The evacuation was over before this VM, which was cut off, knew of it.
				c.ended(dc, e.Version, at, now)
			}
		} else if set.Begin(dc, at) {
			c.logBegin(dc, e.Version, at, now)
		}
	}
}

// changedAfter returns an instant after which the changes that are being applied were made. It is zero
// if that may be any time.
func (c *evacuationConsumer) changedAfter(now time.Time) time.Time {
	ago, known := c.process.feed.ChangedAgo(platform.EvacuationPrefix)
	if !known {
		return time.Time{}
	}
	return now.Add(-ago)
}

// StoreLost implements follow.Consumer. The evacuations that are known stay in force.
func (c *evacuationConsumer) StoreLost() {}

// StoreRestored implements follow.Consumer.
func (c *evacuationConsumer) StoreRestored() {}

const (
	// stallDivisor divides the setting evacuate: a VM that has stood still for longer than a quarter of it
	// serves only once it knows the changes since. Without a stall a VM knows a change within 3 s, which
	// leaves that much of 5 s.
	stallDivisor = 4
	// stallInterval is the interval at which the process notes that it runs.
	stallInterval = 100 * time.Millisecond
	// stallPollWait is how long a VM that has stood still waits for the answer to its own poll to show that it knows all
	// changes. It then reads the list from the store.
	stallPollWait = 500 * time.Millisecond
	// stallRelayWait is the same for a VM that follows the assigner. It covers the age of what that confirms, a report
	// and an update.
	stallRelayWait = 1300 * time.Millisecond
)

// stallWait returns how long this VM waits after it has stood still until it reads the list.
func (c *evacuationConsumer) stallWait() time.Duration {
	if c.process.feed.HasReader() {
		return stallRelayWait
	}
	return stallPollWait
}

// watchStalls notices that the process has stood still, and finds out what has changed meanwhile, until
// the context ends.
func (c *evacuationConsumer) watchStalls(ctx context.Context) error {
	tick := time.NewTicker(stallInterval)
	defer tick.Stop()
	// known and read are the stalls whose changes the feed knows, and for which the store is asked.
	var known, read time.Duration
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		resumed, doubted := c.process.stalls.Beat()
		switch {
		case !doubted:
		case known == resumed:
			// What the feed returned at the last tick has been applied by now.
			c.process.stalls.Confirm(resumed)
			c.process.logger.Info("evacuations are known again after the process stood still", "source", "feed")
		case c.process.feed.KnownAt(platform.EvacuationPrefix) >= resumed:
			known = resumed
		case read != resumed && boottime.Now()-resumed >= c.stallWait():
			read = resumed
			go c.readAfterStall(ctx, resumed)
		}
	}
}

// readAfterStall reads the list from the store. A VM that the store does not answer goes on with what it
// knows.
func (c *evacuationConsumer) readAfterStall(ctx context.Context, resumed time.Duration) {
	defer c.process.stalls.Confirm(resumed)
	objects, at, err := c.process.objects.List(ctx, platform.EvacuationPrefix)
	if err != nil {
		c.process.logger.Warn("cannot read the evacuations after the process stood still; the known ones stay in force", "error", err.Error())
		return
	}
	if !c.replaceUnlessOutdated(objects, at) {
		// The feed has returned later changes, which its goroutine applies at once.
		time.Sleep(stallInterval)
	}
	c.process.logger.Info("evacuations are known again after the process stood still", "source", "store")
}

// replaceUnlessOutdated is Replace for a list as of a revision that was not read by the feed. It ignores the list, and returns
// false, if the feed has returned later changes: the list would undo them, and the feed does not return them again.
func (c *evacuationConsumer) replaceUnlessOutdated(objects []store.Object, at store.Version) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process.feed.KnownRevisions()[platform.EvacuationPrefix] > at {
		return false
	}
	c.replaceLocked(objects, at.Era())
	return true
}

func (c *evacuationConsumer) logBegin(dc string, revision store.Version, since, now time.Time) {
	logger := c.process.logger
	logger.Info("evacuation of data centre began", "data_centre", dc, "revision", revision, age(since, now))
	if c.regions[dc] == "" {
		logger.Warn("evacuation of a data centre that the settings do not name", "data_centre", dc, "revision", revision)
	}
}

// ended records and logs the end of an evacuation. A list does not state the revision of a deletion.
func (c *evacuationConsumer) ended(dc string, revision store.Version, since, now time.Time) {
	// The targets may have become cold while they got no requests.
	c.process.warmUp.MarkCold(dc, now)
	c.process.logger.Info("evacuation of data centre ended", "data_centre", dc, "revision", revision, age(since, now))
}

// age is the log attribute for how long ago an evacuation began at most.
func age(since, now time.Time) slog.Attr {
	if since.IsZero() {
		return slog.String("age_ms", "unknown")
	}
	return slog.Int64("age_ms", now.Sub(since).Milliseconds())
}

// keyPlacement returns which targets may own keys by their places.
func (n *nodeProcess) keyPlacement() shard.PlacementOptions {
	return shard.PlacementOptions{
		Evacuated: func(dc string) bool {
			_, evacuated := n.evacuations.Since(dc)
			return evacuated
		},
		AllowedRegions: func(service string) ([]string, bool) {
			t := n.routes.Load()
			if t == nil {
				return nil, false
			}
			return t.AllowedRegions(service)
		},
	}
}
