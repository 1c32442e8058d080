package target

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"
)

var errQueueFull = errors.New("queue for slots is full")

// slots bounds the requests that run at once and the requests that wait for a slot.
type slots struct {
	free     chan struct{}
	running  atomic.Int64
	queued   atomic.Int64
	maxQueue int64
}

func newSlots(count, maxQueue int) *slots {
	s := &slots{free: make(chan struct{}, count), maxQueue: int64(maxQueue)}
	for range count {
		s.free <- struct{}{}
	}
	return s
}

// acquire takes a slot, and waits in the queue if none is free. It returns errQueueFull if
// the queue is full, or the error of ctx if that ends first.
func (s *slots) acquire(ctx context.Context) error {
	select {
	case <-s.free:
		s.running.Add(1)
		return nil
	default:
	}
	if s.queued.Add(1) > s.maxQueue {
		s.queued.Add(-1)
		return errQueueFull
	}
	defer s.queued.Add(-1)
	select {
	case <-s.free:
		s.running.Add(1)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *slots) release() {
	s.running.Add(-1)
	s.free <- struct{}{}
}
