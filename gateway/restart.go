package gateway

import (
	"time"

	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/upstream"
	"github.com/basiltally/basiltally/warmup"
)

// endedDelay is how much later than the first one the other connections of a process that has ended may be closed. A retry
// after a reset waits for it, because all idle connections are closed here then.
const endedDelay = 3 * time.Millisecond

// observeRestart passes on that the target's process may have restarted, if the failure of an exchange shows that. That happens
// before its entry in the store changes. A reset alone shows nothing: a target that is full resets connections too. ended is set
// if the target has reset the connection and has ended another one that was idle.
func (g *Gateway) observeRestart(t *fleet.Target, f *upstream.Failure, ended bool) {
	w := g.opts.Eligibility.WarmUp()
	switch {
	case w == nil || f == nil:
	case f.Refused:
		w.ObserveRestart(t, warmup.CauseRefused)
	case ended:
		w.ObserveRestart(t, warmup.CauseEnded)
	}
}
