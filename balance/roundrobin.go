package balance

import (
	"sync/atomic"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pipeline"
)

// RoundRobin picks the ready targets of a view in turn. It implements locate.Picker.
type RoundRobin struct{ next atomic.Uint64 }

// Pick returns a ready target, or nil if there is none.
func (r *RoundRobin) Pick(_ *pipeline.Request, v *ownership.View) *ownership.Target {
	n := uint64(len(v.Targets))
	start := r.next.Add(1)
	for i := range n {
		index := (start + i) % n
		if v.States[index] == ownership.TargetReady {
			return &v.Targets[index]
		}
	}
	return nil
}
