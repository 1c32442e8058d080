package gateway

import (
	"time"

	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/result"
)

// bodiesFull returns the error for a request that was not sent because of the request bodies in flight at the targets.
func (g *Gateway) bodiesFull(c *call, roomIn time.Duration, format string, args ...any) *result.Error {
	g.traffic.bodyLimit.WithLabelValues(bodyRefused).Inc()
	return g.noRoom(c, decisionFull, result.TargetShed, roomIn, format, args...)
}

// ownerBodiesFull returns the error for a request that is not sent to the owner t of its key because of the bodies in flight there.
func (g *Gateway) ownerBodiesFull(c *call, t *fleet.Target) *result.Error {
	if c.mayHaveRun {
		g.traffic.bodyLimit.WithLabelValues(bodyRefused).Inc()
		return g.failure(c)
	}
	return g.bodiesFull(c, g.estimate(t).Wait, "the owner of the key, target %s, holds as many bytes of request bodies of this VM as it may", t.ID)
}
