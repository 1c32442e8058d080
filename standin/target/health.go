package target

import (
	"sync"
	"time"

	"github.com/basiltally/basiltally/target"
)

// healthCache reports a state that may be as old as the lag.
type healthCache struct {
	mu     sync.Mutex
	readAt time.Time
	value  target.Health
}

// report returns the cached state, renewed by read when it is older than lag.
func (c *healthCache) report(lag time.Duration, read func() target.Health) target.Health {
	c.mu.Lock()
	defer c.mu.Unlock()
	if lag <= 0 || c.readAt.IsZero() || time.Since(c.readAt) >= lag {
		c.value = read()
		c.readAt = time.Now()
	}
	return c.value
}

// Health returns what the target says of itself.
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
