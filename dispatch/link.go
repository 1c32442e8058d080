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
type linkLimiters struct {
	bytesPerSecond int64

	mu       sync.Mutex
	byRegion map[string]*rate.Limiter
}

func newLinkLimiters(bytesPerSecond int64) *linkLimiters {
	return &linkLimiters{bytesPerSecond: bytesPerSecond, byRegion: map[string]*rate.Limiter{}}
}

// take waits until n bytes may come from the region.
func (l *linkLimiters) wait(ctx context.Context, region string, n int) error {
	if l.bytesPerSecond == 0 {
		return nil
	}
	limiter := l.limiter(region)
	for n > 0 {
		chunk := min(n, linkBurstBytes)
		if err := limiter.WaitN(ctx, chunk); err != nil {
			return err
		}
		n -= chunk
	}
	return nil
}

func (l *linkLimiters) limiter(region string) *rate.Limiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter, ok := l.byRegion[region]
	if !ok {
		limiter = rate.NewLimiter(rate.Limit(l.bytesPerSecond), linkBurstBytes)
		l.byRegion[region] = limiter
	}
	return limiter
}
