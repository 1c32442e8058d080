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

// observeRestart passes on that the target's process may have restarted, if the error of an exchange shows that. That happens
// before its entry in the store changes. A reset alone shows nothing: a target that is full resets connections too.
func (g *Gateway) observeRestart(t *fleet.Target, err error) {
	f, ok := err.(*upstream.Failure)
	if g.opts.Eligibility.WarmUp() == nil || !ok {
		return
	}
	switch {
	case f.Refused:
		g.opts.Eligibility.WarmUp().ObserveRestart(t, warmup.CauseRefused)
	case f.Reset && g.opts.Upstream.AnyEnded(t.Address, endedDelay):
		g.opts.Eligibility.WarmUp().ObserveRestart(t, warmup.CauseEnded)
	}
}
