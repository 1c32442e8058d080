package daemon

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func untilDone(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// The readiness endpoint of a node ended and took the followers and the agent with it, while the node went on to accept
// callers and neither recovered nor exited.
func TestProcessStopsWhenAPartEnds(t *testing.T) {
	failure := errors.New("accept: too many open files")
	for _, tt := range []struct {
		name string
		err  error
	}{{"with an error", failure}, {"without an error", nil}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			parts := newComponents(t.Context(), slog.New(slog.DiscardHandler))
			serving, stop := parts.whileAllRun(t.Context())
			defer stop()
			parts.run("agent", untilDone)
			parts.run("readiness", func(context.Context) error {
				time.Sleep(time.Minute)
				return tt.err
			})
			time.Sleep(59 * time.Second)
			is.NoErr(serving.Err())
			time.Sleep(2 * time.Second)
			synctest.Wait()
			is.True(serving.Err() != nil) // Callers are no longer accepted.
			err := parts.wait()
			is.True(err != nil)
			is.True(tt.err == nil || errors.Is(err, tt.err))
		})
	}
}

func TestPartsEndWithoutAnErrorWhenTheProcessStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		parts := newComponents(ctx, slog.New(slog.DiscardHandler))
		parts.run("agent", untilDone)
		time.Sleep(time.Second)
		cancel()
		is.NoErr(parts.wait())
	})
}
