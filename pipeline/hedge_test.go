package pipeline_test

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestSlowReadIsHedged makes the target silent on the first connection of a read: the
// second attempt must answer it before the silence timeout.
func TestSlowReadIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t)
		is.Equal(env.send("GET", "/quotes/q1").code, "0")
		env.target.setScript(silentAfterRun)
		started := time.Now()
		got := env.send("GET", "/quotes/q1")
		is.Equal(got.body, "answer to /quotes/q1")
		is.True(time.Since(started) < 150*time.Millisecond) // Shorter than the silence timeout.
		is.Equal(env.target.runs["r2"], 2)
	})
}

// TestHedgesStayWithinBudget makes all first attempts slow: second attempts must not
// exceed the budget, and requests that must not be hedged run once.
func TestHedgesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t)
		slow := func(f *fakeTarget, nc net.Conn, r *http.Request) {
			time.Sleep(300 * time.Millisecond)
			answerNormally(f, nc, r)
		}
		const requests = 100
		for range requests {
			env.target.setScript(slow) // A second attempt would be fast.
			is.Equal(env.send("GET", "/quotes/q1").code, "0")
		}
		is.True(env.target.totalRuns() <= requests+7) // Hedges: the reserve of 5 and 2 of 100 requests.
		env.target.setScript(slow, slow)
		before := env.target.totalRuns()
		env.send("POST", "/filings", "Idempotency-Key: k1")
		env.send("GET", "/sheets/a1") // Its class allows no hedge.
		is.Equal(env.target.totalRuns(), before+2)
	})
}
