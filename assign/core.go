package assign

import "time"

// Core decides for one group on one VM. It is not safe for concurrent use.
type Core struct {
	opts Options
}

// New returns a Core that has just started: it gives itself one support time
// before it asks for support.
func New(opts Options) *Core {
	return &Core{opts: opts.withDefaults()}
}

// Step takes in one event at the VM's monotonic clock reading now, counted from
// the start of the process, and returns the actions to execute.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	return nil
}

// NextWake returns the clock reading at which a Tick is due at the latest.
func (c *Core) NextWake() time.Duration {
	return 0
}

// Assigning reports whether this Core is the group's assigner at now.
func (c *Core) Assigning(now time.Duration) bool {
	return false
}
