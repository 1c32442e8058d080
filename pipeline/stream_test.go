package pipeline_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/pipeline"
	"github.com/basiltally/basiltally/target"
)

// packBytes is more than the dispatcher reads before it relays an answer.
const packBytes = 300 << 10

// pack sends the first n bytes of a drawing pack and then calls after.
func pack(n int, after func(net.Conn)) behaviour {
	return func(f *fakeTarget, nc net.Conn, r *http.Request) {
		f.run(r)
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n",
			target.HeaderRequestID, r.Header.Get(target.HeaderRequestID), packBytes)
		io.WriteString(nc, strings.Repeat("p", n))
		after(nc)
	}
}

func TestStreamedAnswerIsWholeOrAnError(t *testing.T) {
	tests := []struct {
		name  string
		fault behaviour
		whole bool
	}{
		{"whole", pack(packBytes, func(net.Conn) {}), true},
		{"cut", pack(packBytes-1, func(nc net.Conn) { nc.Close() }), false},
		{"silent", pack(packBytes-1, func(nc net.Conn) { awaitClose(nc) }), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(t)
				b.target.play(tt.fault)
				got := b.do("GET", "/drawings/d1")
				is.Equal(got.err == nil && len(got.body) == packBytes, tt.whole)
				is.Equal(got.err != nil, !tt.whole)
			})
		})
	}
}

// TestCallerGoneCancelsAtTarget ends the caller's connection while the target is silent.
func TestCallerGoneCancelsAtTarget(t *testing.T) {
	tests := []struct {
		path   string
		cancel bool // Whether the target sees the cancellation.
	}{
		{"/sheets/a1", true},
		{"/drawings/d1", true},
		{"/filings", false}, // Runs on, so that its outcome can be recorded.
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			closed := time.Time{}
			b.target.script = []behaviour{func(f *fakeTarget, nc net.Conn, r *http.Request) {
				f.run(r)
				awaitClose(nc)
				closed = time.Now()
			}}
			ctx, cancel := context.WithCancelCause(context.Background())
			time.AfterFunc(100*time.Millisecond, func() { cancel(pipeline.ErrCallerGone) })
			started := time.Now()
			var hc fasthttp.RequestCtx
			hc.Request.SetRequestURI(tt.path)
			hc.Request.Header.Set(pipeline.HeaderIdempotency, "k1")
			req := &pipeline.Request{ID: "r1", Start: started, HTTP: &hc.Request, Answer: &hc.Response, Context: ctx}
			pipeline.Run(b.handler, req)
			synctest.Wait()
			is.Equal(closed.Sub(started) == 100*time.Millisecond, tt.cancel)
		})
	}
}

func TestDeadlineIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		var got int
		b.target.script = []behaviour{func(f *fakeTarget, nc net.Conn, r *http.Request) {
			got, _ = strconv.Atoi(r.Header.Get(target.HeaderDeadline))
			whole(f, nc, r)
		}}
		b.do("GET", "/sheets/a1", "Basiltally-Deadline-Ms: 300")
		is.Equal(got, 300)
		is.Equal(b.do("GET", "/sheets/a1", "Basiltally-Deadline-Ms: 0").code, "1006")
	})
}

// TestSilentConnectionIsReplaced lets a connection go silent after its first exchange.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		// Two connections become idle and then silent.
		slow := func(f *fakeTarget, nc net.Conn, r *http.Request) {
			time.Sleep(time.Millisecond)
			whole(f, nc, r)
		}
		b.target.play(slow, slow)
		go b.do("GET", "/sheets/a1")
		b.do("GET", "/sheets/a1")
		synctest.Wait()
		is.Equal(b.target.dials, 2)
		b.target.play(silentBeforeRun)
		is.Equal(b.do("GET", "/sheets/a1").code, "0")
		is.Equal(b.target.dials, 3) // The retry uses neither of them.
		// An at-most-once request does not trust a connection that was idle for long.
		is.Equal(b.do("POST", "/filings", "Idempotency-Key: k1").code, "0")
		dials := b.target.dials
		time.Sleep(3 * time.Second)
		is.Equal(b.do("POST", "/filings", "Idempotency-Key: k2").code, "0")
		is.Equal(b.target.dials, dials+1)
	})
}
