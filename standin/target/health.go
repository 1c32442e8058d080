package target

import (
	"sync"
	"time"

	"github.com/basiltally/basiltally/target"
)

// healthCache caches the health, so that a report may be as old as Faults.HealthLag.
type healthCache struct {
	mu     sync.Mutex
	readAt time.Time
	value  target.Health
}

// report returns the cached health. It calls read for a new one if the cached one is at
// least lag old.
func (c *healthCache) report(lag time.Duration, read func() target.Health) target.Health {
	c.mu.Lock()
	defer c.mu.Unlock()
	if lag <= 0 || c.readAt.IsZero() || time.Since(c.readAt) >= lag {
		c.value = read()
		c.readAt = time.Now()
	}
	return c.value
}

// Health returns the health that the target reports, which faults may make stale or wrong.
func (s *Server) Health() target.Health {
	f := s.Faults()
	if f.ReportedHealth != nil {
		return *f.ReportedHealth
	}
	return s.health.report(time.Duration(f.HealthLag), s.trueHealth)
}

func (s *Server) trueHealth() target.Health {
	inc := s.current()
	return target.Health{
		Draining: s.isDraining(),
		Warming:  inc.warming(s.Faults()),
		Running:  int(inc.slots.running.Load()),
		Queued:   int(inc.slots.queued.Load()),
		Crashes:  int(s.crashes.Load()),
	}
}

func (s *Server) isDraining() bool { return s.draining.Load() || s.Faults().Drain }
