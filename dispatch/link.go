package dispatch

import (
	"context"
	"sync"

	"golang.org/x/time/rate"
)

// linkBurstBytes is what may pass a link at once.
const linkBurstBytes = 256 << 10

// links paces long transfers from other regions, so that all VMs together stay
// within the budget of the links and leave room for short work.
type links struct {
	bytesPerSecond int64

	mu       sync.Mutex
	byRegion map[string]*rate.Limiter
}

func newLinks(bytesPerSecond int64) *links {
	return &links{bytesPerSecond: bytesPerSecond, byRegion: map[string]*rate.Limiter{}}
}

// take waits until n bytes may come from the region.
func (l *links) take(ctx context.Context, region string, n int) error {
	if l.bytesPerSecond == 0 {
		return nil
	}
	limiter := l.limiter(region)
	for n > 0 {
		part := min(n, linkBurstBytes)
		if err := limiter.WaitN(ctx, part); err != nil {
			return err
		}
		n -= part
	}
	return nil
}

func (l *links) limiter(region string) *rate.Limiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter, ok := l.byRegion[region]
	if !ok {
		limiter = rate.NewLimiter(rate.Limit(l.bytesPerSecond), linkBurstBytes)
		l.byRegion[region] = limiter
	}
	return limiter
}
