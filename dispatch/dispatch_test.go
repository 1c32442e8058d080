package dispatch

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func TestLinkIsPacedPerRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLinkLimiters(1 << 20)
		started := time.Now()
		for range 32 {
			is.NoErr(l.wait(context.Background(), "south", 128<<10))
		}
		// 4 MiB minus the burst, at 1 MiB per second.
		is.Equal(time.Since(started).Round(10*time.Millisecond), 3750*time.Millisecond)
		started = time.Now()
		is.NoErr(l.wait(context.Background(), "east", linkBurstBytes))
		is.Equal(time.Since(started), time.Duration(0))
	})
}

// TestDialsAreSuspendedAfterFailures requests connections to a lost target every
// millisecond for 10 s.
func TestDialsAreSuspendedAfterFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		dials := 0
		refuse := func(context.Context, string) (net.Conn, error) {
			dials++
			return nil, errors.New("refused")
		}
		opts := Options{Dial: refuse}.withDefaults()
		p := newPool("t1:1", &opts)
		for range 10_000 {
			_, err := p.get(context.Background(), time.Second, false)
			is.True(err != nil)
			time.Sleep(time.Millisecond)
		}
		is.True(dials < 12) // In 10 s, with suspensions that double up to 3.2 s.
	})
}

func TestSilentDialEndsAtDialTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		silent := func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		opts := Options{Dial: silent}.withDefaults()
		started := time.Now()
		_, err := newPool("t1:1", &opts).get(context.Background(), time.Second, true)
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(time.Since(started), 500*time.Millisecond)
	})
}

// TestDialRateIsLimited opens connections without a pause.
func TestDialRateIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		accept := func(context.Context, string) (net.Conn, error) {
			client, _ := net.Pipe()
			return client, nil
		}
		opts := Options{Dial: accept}.withDefaults()
		p := newPool("t1:1", &opts)
		started := time.Now()
		for range 32 {
			_, err := p.get(context.Background(), time.Second, true)
			is.NoErr(err)
		}
		is.Equal(time.Since(started).Round(time.Millisecond), time.Second) // 12 at once, then 20 per second.
	})
}
