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

// drawingBytes is more than the dispatcher buffers before it relays an answer.
const drawingBytes = 300 << 10

// sendDrawing returns a behaviour that sends the first n of drawingBytes bytes of a
// drawing and then calls after.
func sendDrawing(n int, after func(net.Conn)) behaviour {
	return func(f *fakeTarget, nc net.Conn, r *http.Request) {
		f.countRun(r)
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n",
			target.HeaderRequestID, r.Header.Get(target.HeaderRequestID), drawingBytes)
		io.WriteString(nc, strings.Repeat("p", n))
		after(nc)
	}
}

func TestStreamedAnswerIsCompleteOrAnError(t *testing.T) {
	tests := []struct {
		name     string
		fault    behaviour
		complete bool
	}{
		{"complete", sendDrawing(drawingBytes, func(net.Conn) {}), true},
		{"cut", sendDrawing(drawingBytes-1, func(nc net.Conn) { nc.Close() }), false},
		{"silent", sendDrawing(drawingBytes-1, func(nc net.Conn) { awaitClose(nc) }), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv(t)
				env.target.setScript(tt.fault)
				got := env.send("GET", "/drawings/d1")
				is.Equal(got.err == nil && len(got.body) == drawingBytes, tt.complete)
				is.Equal(got.err != nil, !tt.complete)
			})
		})
	}
}

// TestCallerDisconnectCancelsRequestAtTarget closes the caller's connection while the
// target is silent.
func TestCallerDisconnectCancelsRequestAtTarget(t *testing.T) {
	tests := []struct {
		path   string
		cancel bool // Whether the connection to the target is closed.
	}{
		{"/sheets/a1", true},
		{"/drawings/d1", true},
		{"/filings", false}, // It keeps running, so that its outcome can be recorded.
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(t)
			closed := time.Time{}
			env.target.script = []behaviour{func(f *fakeTarget, nc net.Conn, r *http.Request) {
				f.countRun(r)
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
			pipeline.Run(env.handler, req)
			synctest.Wait()
			is.Equal(closed.Sub(started) == 100*time.Millisecond, tt.cancel)
		})
	}
}

func TestDeadlineIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t)
		var got int
		env.target.script = []behaviour{func(f *fakeTarget, nc net.Conn, r *http.Request) {
			got, _ = strconv.Atoi(r.Header.Get(target.HeaderDeadline))
			answerNormally(f, nc, r)
		}}
		env.send("GET", "/sheets/a1", "Basiltally-Deadline-Ms: 300")
		is.Equal(got, 300)
		is.Equal(env.send("GET", "/sheets/a1", "Basiltally-Deadline-Ms: 0").code, "1006")
	})
}

// TestSilentConnectionIsReplaced makes the target silent on idle connections: the retry
// must use a new one, and an at-most-once request no connection that was idle for long.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t)
		// Open two connections, which become idle.
		slow := func(f *fakeTarget, nc net.Conn, r *http.Request) {
			time.Sleep(time.Millisecond)
			answerNormally(f, nc, r)
		}
		env.target.setScript(slow, slow)
		go env.send("GET", "/sheets/a1")
		env.send("GET", "/sheets/a1")
		synctest.Wait()
		is.Equal(env.target.dials, 2)
		env.target.setScript(silentBeforeRun)
		is.Equal(env.send("GET", "/sheets/a1").code, "0")
		is.Equal(env.target.dials, 3) // The retry uses neither of the two connections.
		// An at-most-once request uses no connection that was idle for more than 2 s.
		is.Equal(env.send("POST", "/filings", "Idempotency-Key: k1").code, "0")
		dials := env.target.dials
		time.Sleep(3 * time.Second)
		is.Equal(env.send("POST", "/filings", "Idempotency-Key: k2").code, "0")
		is.Equal(env.target.dials, dials+1)
	})
}
