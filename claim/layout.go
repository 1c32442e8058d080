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

// check compares the settings with the stored layout, until they were found equal
// once. It writes the layout if the deployment has none.
func (g *layoutChecker) check(ctx context.Context) error {
	select {
	case g.sem <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-g.sem }()
	if g.checked {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, g.opts.WriteTimeout)
	defer cancel()
	object, err := g.opts.Store.Get(ctx, layoutKey)
	if errors.Is(err, store.ErrNotFound) {
		return g.create(ctx)
	}
	if err != nil {
		return err
	}
	return g.compare(object.Value)
}

func (g *layoutChecker) create(ctx context.Context) error {
	value := encode(&pb.ClaimLayout{
		Partitions: uint32(g.opts.Partitions),
		RingSlots:  uint32(g.opts.RingSlots),
	})
	_, err := g.opts.Store.Put(ctx, layoutKey, value, 0)
	if err == nil {
		g.checked = true
		return nil
	}
	if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
		return err
	}
	object, err := g.opts.Store.Get(ctx, layoutKey)
	if err != nil {
		return err
	}
	return g.compare(object.Value)
}

func (g *layoutChecker) compare(value []byte) error {
	var found pb.ClaimLayout
	if err := proto.Unmarshal(value, &found); err != nil {
		return errors.Wrap(err, "malformed claim layout")
	}
	if int(found.Partitions) != g.opts.Partitions || int(found.RingSlots) != g.opts.RingSlots {
		return result.New(result.InvalidSettings,
			"the stored claim logs have %d partitions and %d ring slots, but the settings have %d and %d",
			found.Partitions, found.RingSlots, g.opts.Partitions, g.opts.RingSlots)
	}
	g.checked = true
	return nil
}
