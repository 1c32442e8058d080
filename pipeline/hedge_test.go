package pipeline_test

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestHedgeOfSlowRead lets the first connection of a read go silent.
func TestHedgeOfSlowRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		is.Equal(b.do("GET", "/quotes/q1").code, "0")
		b.target.play(silentAfterRun)
		started := time.Now()
		got := b.do("GET", "/quotes/q1")
		is.Equal(got.body, "answer to /quotes/q1")
		is.True(time.Since(started) < 150*time.Millisecond) // Not the silence timeout.
		is.Equal(b.target.runs["r2"], 2)
	})
}

// TestHedgesStayWithinBudget makes all first attempts slow.
func TestHedgesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		slow := func(f *fakeTarget, nc net.Conn, r *http.Request) {
			time.Sleep(300 * time.Millisecond)
			whole(f, nc, r)
		}
		const requests = 100
		for range requests {
			b.target.play(slow) // A second attempt would be fast.
			is.Equal(b.do("GET", "/quotes/q1").code, "0")
		}
		is.True(b.target.total() <= requests+7) // The reserve and 2 of 100.
		b.target.play(slow, slow)
		before := b.target.total()
		b.do("POST", "/filings", "Idempotency-Key: k1")
		b.do("GET", "/sheets/a1") // Its class allows no hedge.
		is.Equal(b.target.total(), before+2)
	})
}
