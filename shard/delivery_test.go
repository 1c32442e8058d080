package shard

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/store/memstore"
	"github.com/basiltally/basiltally/store/relayfeed"
)

// Guards against a poll that is never known to have reached the store, though the VM's other calls are answered.
func TestAnsweredOrdersAndReportsShowThatAPollHasArrived(t *testing.T) {
	const begun, sent = time.Hour, time.Hour + time.Second
	tests := []struct {
		name  string
		tell  func(*Agent)
		shown bool
	}{
		{"answered order", func(a *Agent) { a.confirmDelivery(Result{Sent: sent}) }, true},
		{"fenced order", func(a *Agent) { a.confirmDelivery(Result{Sent: sent, Err: ErrFenced}) }, true},
		{"order without an answer", func(a *Agent) { a.confirmDelivery(Result{Sent: sent, Err: context.DeadlineExceeded}) }, false},
		{"earlier order", func(a *Agent) { a.confirmDelivery(Result{Sent: begun - time.Second}) }, false},
		{"returned report", func(a *Agent) { a.applyFeed(&pb.ShardUpdate{ReportSentAtMs: uint64(sent.Milliseconds())}) }, true},
		{"earlier report", func(a *Agent) { a.applyFeed(&pb.ShardUpdate{ReportSentAtMs: uint64(begun.Milliseconds()) - 1}) }, false},
		{"no report", func(a *Agent) { a.applyFeed(&pb.ShardUpdate{}) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				feed := relayfeed.New(relayfeed.Options{Direct: memstore.New(memstore.Options{}), Now: func() time.Duration { return begun }})
				_, at, err := feed.List(t.Context(), "a/")
				is.NoErr(err)
				ctx, cancel := context.WithCancel(t.Context())
				var poll sync.WaitGroup
				poll.Go(func() { _, _, _ = feed.Poll(ctx, "a/", at, time.Minute) })
				synctest.Wait()
				is.True(feed.Sending() != nil)
				tt.tell(NewAgent(AgentOptions{Feed: feed}))
				is.Equal(feed.Sending() == nil, tt.shown)
				cancel()
				poll.Wait()
			})
		})
	}
}
