package pipeline_test

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/ownership"
)

// TestQueuedReadsMoveToNewOwner stops a target from answering while all its slots are
// in use, and moves its keys: reads that wait for a slot must not wait for the old owner.
func TestQueuedReadsMoveToNewOwner(t *testing.T) {
	const (
		reads    = 20
		movedAt  = 300 * time.Millisecond
		servedIn = time.Second // within one silence timeout of 500 ms after the move
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t)
		for range reads {
			env.target.script = append(env.target.script, func(f *fakeTarget, nc net.Conn, r *http.Request) {
				if r.Header.Get("Basiltally-Token") == "1.1" {
					awaitClose(nc)
					return
				}
				answerNormally(f, nc, r)
			})
		}
		time.AfterFunc(movedAt, func() {
			moved := testView("sheets-0", 2)
			moved.Targets = []ownership.Target{{ID: "t2", Address: "t2:1"}}
			env.views.Apply(moved)
		})
		var wg sync.WaitGroup
		var mu sync.Mutex
		slowest, failed := time.Duration(0), 0
		for range reads {
			wg.Go(func() {
				begin := time.Now()
				got := env.send("GET", "/sheets/a1")
				mu.Lock()
				defer mu.Unlock()
				slowest = max(slowest, time.Since(begin))
				if got.code != "0" {
					failed++
				}
			})
		}
		wg.Wait()
		is.Equal(failed, 0)
		is.True(slowest <= servedIn)
	})
}
