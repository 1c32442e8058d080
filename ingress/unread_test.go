package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/routing"
)

// longAnswer is longer than what the system buffers on both sides of a connection.
const longAnswer = 24 << 20

// bulky answers GET requests with longAnswer bytes, and others as echo does.
func bulky(ctx context.Context, r *Request) *Response {
	if r.Header.IsGet() {
		return &Response{Status: 200, Body: make([]byte, longAnswer)}
	}
	return echo(ctx, r)
}

// stuck sends requests for long answers on a new connection and reads nothing.
func stuck(t *testing.T, s *testServer, requests int) (net.Conn, *bufio.Reader) {
	t.Helper()
	nc, br := s.dial(t)
	if err := nc.SetDeadline(time.Now().Add(30 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if err := nc.(*net.TCPConn).SetReadBuffer(16 << 10); err != nil {
		t.Fatal(err)
	}
	write(t, nc, strings.Repeat("GET /big HTTP/1.1\r\nHost: h\r\n\r\n", requests))
	return nc, br
}

// Guards against uploads refused for 30 s because callers never read their answers, and against answers cut short that look whole.
func TestUnreadAnswersFreeMemoryWhileItIsShort(t *testing.T) {
	is := is.New(t)
	s := start(t, bulky, routing.Limits{})
	_, unread := stuck(t, s, 3)
	for end := time.Now().Add(5 * time.Second); s.server.opts.Memory.Used() < 3*longAnswer; time.Sleep(5 * time.Millisecond) {
		is.True(time.Now().Before(end)) // The pipelined answers count although only the first is being written.
	}
	refused := 0
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		nc, br := s.dial(t)
		write(t, nc, "POST /new HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n12345")
		resp, _ := readAnswer(t, br)
		nc.Close()
		if resp.StatusCode == 200 {
			break
		}
		refused++
		is.True(time.Now().Before(end)) // An upload is still refused.
	}
	is.True(refused > 0)
	resp, err := http.ReadResponse(unread, nil)
	is.NoErr(err)
	is.Equal(resp.ContentLength, int64(longAnswer))
	n, err := io.Copy(io.Discard, resp.Body)
	is.True(err != nil)
	is.True(n < longAnswer)
}

// A caller that reads slowly but steadily gets its whole answer, also while memory is short.
func TestSteadyReaderGetsItsAnswerWhileMemoryIsShort(t *testing.T) {
	is := is.New(t)
	s := start(t, bulky, routing.Limits{})
	_, br := stuck(t, s, 1)
	resp, err := http.ReadResponse(br, nil)
	is.NoErr(err)
	began := time.Now()
	n := int64(0)
	for err == nil {
		var m int64
		m, err = io.CopyN(io.Discard, resp.Body, 1<<20)
		n += m
		time.Sleep(200 * time.Millisecond)
	}
	is.Equal(err, io.EOF)
	is.Equal(n, int64(longAnswer))
	is.True(time.Since(began) > unreadTimeoutShort)
}

// Guards against a slow caller that seems to read nothing because the buffer of the server accepts nothing.
func TestQueuedBytesFallAsTheCallerReads(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	caller, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	is.NoErr(caller.(*net.TCPConn).SetReadBuffer(16 << 10))
	nc, err := ln.Accept()
	is.NoErr(err)
	defer nc.Close()
	is.NoErr(nc.SetWriteDeadline(time.Now().Add(300 * time.Millisecond)))
	written, err := nc.Write(make([]byte, longAnswer))
	is.True(err != nil)
	is.True(written > 0)
	before := queuedBytes(nc)
	is.True(before > 0)
	_, err = io.CopyN(io.Discard, caller, 256<<10)
	is.NoErr(err)
	for end := time.Now().Add(5 * time.Second); queuedBytes(nc) >= before; time.Sleep(5 * time.Millisecond) {
		is.True(time.Now().Before(end))
	}
}

// The bounds are for callers that take nothing, and only while memory is short for those that are slow.
func TestAnswerIsGivenUpOnlyWithoutProgress(t *testing.T) {
	began := time.Unix(100, 0)
	for _, tt := range []struct {
		name     string
		perCheck int64
		short    bool
		want     time.Duration
	}{
		{"reads nothing, memory short", 0, true, unreadTimeoutShort},
		{"reads nothing, memory free", 0, false, unreadTimeout},
		{"reads steadily, memory short", 1, true, writeTimeoutShort},
		{"reads steadily, memory free", 1, false, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			u := unread{began: began, takenAt: began}
			got := time.Duration(0)
			for i := int64(1); i <= 600 && got == 0; i++ {
				if now := began.Add(time.Duration(i) * unreadCheck); u.expired(now, i*tt.perCheck, tt.short) {
					got = now.Sub(began)
				}
			}
			is.New(t).Equal(got, tt.want)
		})
	}
}

// A slow target holds the body of its request until it has answered, and a caller's pipelined requests hold their headers.
func TestRequestsInFlightCount(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s := start(t, func(ctx context.Context, r *Request) *Response {
		<-release
		return echo(ctx, r)
	}, routing.Limits{})
	nc, br := s.dial(t)
	write(t, nc, "POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 100_000))
	headers, headersReader := s.dial(t)
	write(t, headers, strings.Repeat("GET /p HTTP/1.1\r\nHost: h\r\nX-Pad: "+strings.Repeat("x", 3000)+"\r\n\r\n", 10))
	for end := time.Now().Add(5 * time.Second); s.server.opts.Memory.Used() < 130_000; time.Sleep(5 * time.Millisecond) {
		is.True(time.Now().Before(end))
	}
	close(release)
	resp, _ := readAnswer(t, br)
	is.Equal(resp.StatusCode, 200)
	for range 10 {
		resp, body := readAnswer(t, headersReader)
		is.Equal(resp.StatusCode, 200)
		is.Equal(body, fmt.Sprintf("%s ", "/p"))
	}
}

// Guards against uploads refused because callers announce long bodies and send nothing.
func TestStalledUploadsFreeMemoryWhileItIsShort(t *testing.T) {
	is := is.New(t)
	var served atomic.Int64
	s := start(t, counting(&served), routing.Limits{})
	post := func(size int) (net.Conn, *bufio.Reader) {
		nc, br := s.dial(t)
		is.NoErr(nc.SetDeadline(time.Now().Add(30 * time.Second)))
		write(t, nc, fmt.Sprintf("POST /patient HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size))
		return nc, br
	}
	_, stalled := post(900_000)
	steady, steadyReader := post(100_000)
	for range 10 {
		write(t, steady, strings.Repeat("x", 10_000))
		time.Sleep(500 * time.Millisecond)
	}
	resp, body := readAnswer(t, steadyReader)
	is.Equal(resp.StatusCode, 200)
	is.Equal(len(body), len("/patient ")+100_000)
	is.Equal(s.server.opts.Memory.Used(), int64(0))
	resp, _ = readAnswer(t, stalled)
	is.Equal(resp.StatusCode, http.StatusRequestTimeout)
	is.True(resp.Close)
	is.Equal(served.Load(), int64(1))
}
