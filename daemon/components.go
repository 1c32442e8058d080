package daemon

import (
	"context"
	"log/slog"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/basiltally/basiltally/listen"
)

// components are the parts of a process that run until it stops. A part that ends earlier serves nothing
// from then on, and only a new start of the process brings it back: the others are stopped then, the
// process finishes what callers have sent, and exits with the part's error.
type components struct {
	group  *errgroup.Group
	ctx    context.Context
	logger *slog.Logger
}

// newComponents returns components that run until ctx ends or one of them does.
func newComponents(ctx context.Context, logger *slog.Logger) *components {
	c := &components{logger: logger}
	c.group, c.ctx = errgroup.WithContext(ctx)
	return c
}

// run starts a part. It must not return before its context ends.
func (c *components) run(name string, part func(context.Context) error) {
	c.group.Go(func() error {
		err := part(c.ctx)
		if c.ctx.Err() == nil {
			if err == nil {
				err = errors.New("ended without an error")
			}
			c.logger.Error("a part of the process has ended, so the process stops", "part", name, "error", err.Error())
		}
		return errors.WithMessage(err, name)
	})
}

// whileAllRun returns a context that ends with ctx or as soon as a part has ended.
func (c *components) whileAllRun(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(c.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// wait waits until all parts have ended and returns the error of the first that failed.
func (c *components) wait() error { return c.group.Wait() }

// callerConnections returns how many connections callers may have to this process, or zero if the limit of
// its descriptors cannot be read.
func callerConnections(logger *slog.Logger) int {
	descriptors, err := listen.Descriptors()
	if err != nil {
		logger.Warn("the connections of callers are not bounded", "error", err.Error())
		return 0
	}
	return listen.CallerConnections(descriptors)
}
