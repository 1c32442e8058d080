package claim

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/result"
	"github.com/basiltally/basiltally/store"
)

// layoutChecker compares the settings with the layout of the logs in the store.
// With another number of partitions, a VM would look for a key in another log and
// let a resend run again, so a VM whose settings differ refuses all claims.
type layoutChecker struct {
	opts *Options
	// sem is a semaphore of one that a running check holds; it protects checked.
	sem     chan struct{}
	checked bool
}

func newLayoutChecker(opts *Options) *layoutChecker {
	return &layoutChecker{opts: opts, sem: make(chan struct{}, 1)}
}

// check compares the settings with the stored layout, and writes the layout if the
// deployment has none. After a check has succeeded, later calls do nothing.
func (c *layoutChecker) check(ctx context.Context) error {
	select {
	case c.sem <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-c.sem }()
	if c.checked {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.WriteTimeout)
	defer cancel()
	object, err := c.opts.Store.Get(ctx, layoutKey)
	if errors.Is(err, store.ErrNotFound) {
		return c.create(ctx)
	}
	if err != nil {
		return err
	}
	return c.compare(object.Value)
}

func (c *layoutChecker) create(ctx context.Context) error {
	value := encode(&pb.ClaimLayout{
		Partitions: uint32(c.opts.Partitions),
		RingSlots:  uint32(c.opts.RingSlots),
	})
	_, err := c.opts.Store.Put(ctx, layoutKey, value, 0)
	if err == nil {
		c.checked = true
		return nil
	}
	if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
		return err
	}
	object, err := c.opts.Store.Get(ctx, layoutKey)
	if err != nil {
		return err
	}
	return c.compare(object.Value)
}

func (c *layoutChecker) compare(value []byte) error {
	var found pb.ClaimLayout
	if err := proto.Unmarshal(value, &found); err != nil {
		return errors.Wrap(err, "malformed claim layout")
	}
	if int(found.Partitions) != c.opts.Partitions || int(found.RingSlots) != c.opts.RingSlots {
		return result.New(result.InvalidSettings,
			"the stored claim logs have %d partitions and %d ring slots, but the settings have %d and %d",
			found.Partitions, found.RingSlots, c.opts.Partitions, c.opts.RingSlots)
	}
	c.checked = true
	return nil
}
