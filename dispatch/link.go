package dispatch

import (
	"context"
	"sync"

	"golang.org/x/time/rate"
)

// linkBurstBytes is the number of bytes that may pass a link without a wait.
const linkBurstBytes = 256 << 10

// linkLimiters limit the rate of long transfers from each other region, so that all
// VMs together stay within the bandwidth of the links and leave room for short requests.
type linkLimiters struct {
	bytesPerSecond int64

	mu       sync.Mutex
	byRegion map[string]*rate.Limiter
}

func newLinkLimiters(bytesPerSecond int64) *linkLimiters {
	return &linkLimiters{bytesPerSecond: bytesPerSecond, byRegion: map[string]*rate.Limiter{}}
}

// wait waits until n more bytes from the region are within the limit. It returns an
// error if the context ends first.
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
