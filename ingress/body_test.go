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

// write sends text on the connection.
func write(t *testing.T, nc net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatal(err)
	}
}

// counting returns a handler that answers like echo and counts the requests.
func counting(n *atomic.Int64) handler {
	return func(ctx context.Context, r *Request) *Response {
		n.Add(1)
		return echo(ctx, r)
	}
}

// A request that cannot be served is answered before its body has arrived. A short body is discarded
// and the connection kept; otherwise the connection is closed so that the caller gets the answer.
func TestRefusalBeforeTheBody(t *testing.T) {
	tests := []struct {
		name, head, body string
		kept             bool
	}{
		{"short body", "Content-Length: 5\r\n", "12345", true},
		{"long body", "Content-Length: 300000\r\n", strings.Repeat("x", 200_000), false},
		{"chunked body", "Transfer-Encoding: chunked\r\n", "5\r\n12345\r\n", false},
		{"caller waits for 100", "Content-Length: 5\r\nExpect: 100-continue\r\n", "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var served atomic.Int64
			s := start(t, counting(&served), routing.Limits{})
			nc, br := s.dial(t)
			write(t, nc, "POST /refused HTTP/1.1\r\nHost: h\r\n"+tt.head+"\r\n")
			resp, body := readAnswer(t, br) // The body was not sent yet.
			is.Equal(resp.StatusCode, 503)
			is.Equal(body, "refused")
			is.Equal(resp.Close, !tt.kept)
			_, _ = io.WriteString(nc, tt.body) // The connection may be closed already.
			is.Equal(served.Load(), int64(0))
			if !tt.kept {
				_, err := br.ReadByte()
				is.True(err != nil)
				return
			}
			write(t, nc, "GET /next HTTP/1.1\r\nHost: h\r\n\r\n")
			resp, body = readAnswer(t, br)
			is.Equal(resp.StatusCode, 200)
			is.Equal(body, "/next ")
		})
	}
}

// A body over the limit is refused without 100 Continue, and without reading it.
func TestBodyOverTheLimitIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	s := start(t, echo, routing.Limits{})
	nc, br := s.dial(t)
	write(t, nc, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\nExpect: 100-continue\r\n\r\n")
	resp, _ := readAnswer(t, br)
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
	is.True(resp.Close)
}

// A body that ends early must not be served, however it ends.
func TestBrokenOffBodyIsNotServed(t *testing.T) {
	for name, text := range map[string]string{
		"length":             "Content-Length: 10\r\n\r\n12345",
		"chunk":              "Transfer-Encoding: chunked\r\n\r\nA\r\n12345",
		"between chunks":     "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
		"before the trailer": "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n",
		"nothing":            "Content-Length: 10\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var served atomic.Int64
			s := start(t, counting(&served), routing.Limits{})
			nc, br := s.dial(t)
			write(t, nc, "POST / HTTP/1.1\r\nHost: h\r\n"+text)
			is.NoErr(nc.(*net.TCPConn).CloseWrite())
			rest, err := io.ReadAll(br)
			is.NoErr(err)
			is.Equal(string(rest), "") // Whether it ran or not, the caller knows that it did not send all.
			is.Equal(served.Load(), int64(0))
		})
	}
}

// A caller that stops half-way is answered once its time has passed, and its request is not served.
func TestStalledBodyIsGivenUpAtTheCallersDeadline(t *testing.T) {
	is := is.New(t)
	var served atomic.Int64
	s := start(t, counting(&served), routing.Limits{})
	nc, br := s.dial(t)
	write(t, nc, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n12345")
	began := time.Now()
	resp, _ := readAnswer(t, br)
	is.Equal(resp.StatusCode, http.StatusRequestTimeout)
	is.True(time.Since(began) < 4*time.Second) // The handler gives the body 2 s.
	is.Equal(served.Load(), int64(0))
}

// More slow uploads than fit in memory: those that find room are served whole, the others refused at once,
// and afterwards there is room again. A VM with 184 MB and a link of 10 Mbit/s has room for 100 uploads of
// 360 kB, which take 30 s to arrive together; here the sizes are smaller.
func TestUploadsShareTheMemory(t *testing.T) {
	const (
		uploads = 12
		size    = 200_000
		fit     = testMemory / size
	)
	is := is.New(t)
	s := start(t, echo, routing.Limits{})
	conns, readers := make([]net.Conn, uploads), make([]*bufio.Reader, uploads)
	for i := range uploads {
		conns[i], readers[i] = s.dial(t)
		write(t, conns[i], fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", i, size))
		write(t, conns[i], strings.Repeat("x", size/2))
		time.Sleep(10 * time.Millisecond)
	}
	for i := fit; i < uploads; i++ {
		resp, body := readAnswer(t, readers[i])
		is.Equal(resp.StatusCode, 503)
		is.Equal(body, fmt.Sprintf("refused because of %d", NoMemory))
	}
	for i := range fit {
		write(t, conns[i], strings.Repeat("x", size-size/2))
		resp, body := readAnswer(t, readers[i])
		is.Equal(resp.StatusCode, 200)
		is.Equal(len(body), len(fmt.Sprintf("/%d ", i))+size)
	}
	nc, br := s.dial(t)
	write(t, nc, fmt.Sprintf("POST /again HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size)))
	resp, _ := readAnswer(t, br)
	is.Equal(resp.StatusCode, 200)
}

// A request whose body arrives late in a stop is refused rather than passed on: the end of the stop could cut it off.
func TestLateRequestInAStopIsRefused(t *testing.T) {
	is := is.New(t)
	var served atomic.Int64
	s := start(t, counting(&served), routing.Limits{})
	nc, br := s.dial(t)
	write(t, nc, "POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n12345")
	time.Sleep(50 * time.Millisecond)
	s.stop()
	// The listener closes 300 ms after the beginning of the stop.
	time.Sleep(300*time.Millisecond + 2*finalReadTimeout + lateRequestAfter + 100*time.Millisecond)
	write(t, nc, "67890")
	resp, body := readAnswer(t, br)
	is.Equal(resp.StatusCode, 503)
	is.Equal(body, fmt.Sprintf("refused because of %d", Stopping))
	is.True(resp.Close)
	is.Equal(served.Load(), int64(0))
}
