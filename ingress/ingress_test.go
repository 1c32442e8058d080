package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/bodies"
	"github.com/basiltally/basiltally/routing"
)

// handler is a function that serves requests. Only GET requests may overlap others.
type handler func(ctx context.Context, r *Request) *Response

func (h handler) Serve(ctx context.Context, r *Request) *Response { return h(ctx, r) }
func (h handler) MayOverlap(r *Request) bool                      { return r.Header.IsGet() }

// Precheck lets all requests through whose paths do not begin with /refused.
func (h handler) Precheck(r *Request) (*Response, time.Time) {
	if strings.HasPrefix(string(r.Header.RequestURI()), "/refused") {
		return &Response{Status: 503, Header: []byte("Retry-After: 1\r\n"), Body: []byte("refused")}, time.Time{}
	}
	if strings.HasPrefix(string(r.Header.RequestURI()), "/patient") {
		return nil, time.Now().Add(20 * time.Second)
	}
	return nil, time.Now().Add(2 * time.Second)
}

func (h handler) Refuse(_ *Request, cause RefusalCause) *Response {
	return &Response{Status: 503, Body: fmt.Appendf(nil, "refused because of %d", cause)}
}

func echo(_ context.Context, r *Request) *Response {
	return &Response{Status: 200, Body: append([]byte(string(r.Header.RequestURI())+" "), r.Body...)}
}

// testMemory is how much memory the bodies may take.
const testMemory = 1 << 20

type testServer struct {
	server  *Server
	address string
	stop    context.CancelFunc
	done    chan error
}

func start(t *testing.T, h handler, limits routing.Limits) *testServer {
	t.Helper()
	return startBounded(t, h, limits, 0)
}

// startBounded starts a server with a bound of its connections.
func startBounded(t *testing.T, h handler, limits routing.Limits, maxConnections int) *testServer {
	t.Helper()
	limits.HeaderBytes = max(limits.HeaderBytes, 4096)
	limits.BodyBytes = max(limits.BodyBytes, 1<<20)
	memory := bodies.NewMemory(testMemory)
	if limits.HeaderTimeout == 0 {
		limits.HeaderTimeout = 2 * time.Second
	}
	if limits.IdleTimeout == 0 {
		limits.IdleTimeout = 5 * time.Second
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(Options{
		Handler: h, Limits: func() routing.Limits { return limits },
		LameDuck: 300 * time.Millisecond, StopLimit: 3 * time.Second, MaxConnections: maxConnections, Memory: memory,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ts := &testServer{s, ln.Addr().String(), cancel, make(chan error, 1)}
	go func() { ts.done <- s.Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		select {
		case <-ts.done:
		case <-time.After(5 * time.Second):
			t.Error("the server did not stop within 5 s")
		}
		// A handler may still have run when the server closed its connection.
		for end := time.Now().Add(2 * time.Second); memory.Used() > 0 && time.Now().Before(end); {
			time.Sleep(5 * time.Millisecond)
		}
		is.New(t).Equal(memory.Used(), int64(0))
	})
	return ts
}

func (s *testServer) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	nc, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	if err := nc.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return nc, bufio.NewReader(nc)
}

func readAnswer(t *testing.T, br *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

func TestPipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder(t *testing.T) {
	is := is.New(t)
	var both sync.WaitGroup
	both.Add(2)
	s := start(t, func(ctx context.Context, r *Request) *Response {
		both.Done()
		both.Wait() // Returns only if both requests run at once.
		if string(r.Header.RequestURI()) == "/1" {
			time.Sleep(50 * time.Millisecond)
		}
		return echo(ctx, r)
	}, routing.Limits{})
	nc, br := s.dial(t)
	fmt.Fprint(nc, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	for i := 1; i <= 2; i++ {
		_, body := readAnswer(t, br)
		is.Equal(body, fmt.Sprintf("/%d ", i))
	}
}

func TestNonIdempotentRequestsRunSequentially(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	running, most := 0, 0
	s := start(t, func(ctx context.Context, r *Request) *Response {
		mu.Lock()
		running++
		most = max(most, running)
		mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		mu.Lock()
		running--
		mu.Unlock()
		return echo(ctx, r)
	}, routing.Limits{})
	nc, br := s.dial(t)
	fmt.Fprint(nc, strings.Repeat("POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nxy", 3))
	for range 3 {
		_, body := readAnswer(t, br)
		is.Equal(body, "/p xy")
	}
	mu.Lock()
	defer mu.Unlock()
	is.Equal(most, 1)
}

func TestChunkedBodyIsReadCompletely(t *testing.T) {
	is := is.New(t)
	s := start(t, echo, routing.Limits{})
	nc, br := s.dial(t)
	fmt.Fprint(nc, "POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nGET /next HTTP/1.1\r\nHost: a\r\n\r\n")
	_, body := readAnswer(t, br)
	is.Equal(body, "/c abcde")
	_, body = readAnswer(t, br)
	is.Equal(body, "/next ")
}

func TestCallerDisconnectCancelsTheHandlerContext(t *testing.T) {
	left := make(chan struct{})
	s := start(t, func(ctx context.Context, r *Request) *Response {
		<-ctx.Done()
		close(left)
		return echo(ctx, r)
	}, routing.Limits{})
	nc, _ := s.dial(t)
	fmt.Fprint(nc, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	nc.Close()
	select {
	case <-left:
	case <-time.After(time.Second):
		t.Fatal("the handler's context was not cancelled within 1 s after the caller disconnected")
	}
}

// A request that two parsers may interpret differently is refused, and the data after it
// is not served as a request.
func TestAmbiguousRequestsAreRefused(t *testing.T) {
	smuggled := "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"
	tests := map[string]string{
		"length and chunks":  "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"two lengths":        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nContent-Length: 35\r\n\r\n",
		"folded header":      "GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n Content-Length: 35\r\n\r\n",
		"bare line feed":     "GET / HTTP/1.1\r\nHost: a\r\nX: 1\nContent-Length: 35\r\n\r\n",
		"space before colon": "POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 35\r\n\r\n",
		"odd encoding":       "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n",
		"bare CR in value":   "GET / HTTP/1.1\r\nHost: a\r\nX: a\rContent-Length: 35\r\n\r\n",
		"absolute target":    "GET http://a/ HTTP/1.1\r\nHost: b\r\n\r\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			served := make(chan string, 4)
			s := start(t, func(ctx context.Context, r *Request) *Response {
				served <- string(r.Header.RequestURI())
				return echo(ctx, r)
			}, routing.Limits{})
			nc, br := s.dial(t)
			fmt.Fprint(nc, text+smuggled)
			resp, _ := readAnswer(t, br)
			is.Equal(resp.StatusCode, 400)
			is.True(resp.Close)
			is.Equal(len(served), 0)
		})
	}
}

func TestLimitsOnCallers(t *testing.T) {
	limits := routing.Limits{HeaderBytes: 4096, BodyBytes: 1 << 20, HeaderTimeout: 100 * time.Millisecond}
	tests := []struct {
		name, send string
		status     int
	}{
		{"long header", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 8000) + "\r\n\r\n", 431},
		{"long body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99000000\r\n\r\n", 413},
		{"slow header", "GET / HTTP/1.1\r\nHo", 408},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := start(t, echo, limits)
			nc, br := s.dial(t)
			fmt.Fprint(nc, tt.send)
			resp, _ := readAnswer(t, br)
			is.New(t).Equal(resp.StatusCode, tt.status)
		})
	}
}

func TestIdleConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	s := start(t, echo, routing.Limits{IdleTimeout: 100 * time.Millisecond})
	_, br := s.dial(t)
	_, err := br.ReadByte()
	is.Equal(err, io.EOF)
}

// A stop answers the requests that were sent on open connections, accepts new connections
// during the lame duck time, and closes idle ones.
func TestStopCompletesRequestsInFlight(t *testing.T) {
	is := is.New(t)
	s := start(t, func(ctx context.Context, r *Request) *Response {
		time.Sleep(400 * time.Millisecond)
		return echo(ctx, r)
	}, routing.Limits{})
	nc, br := s.dial(t)
	_, idle := s.dial(t)
	fmt.Fprint(nc, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	s.stop()
	time.Sleep(50 * time.Millisecond)
	is.True(s.server.Stopping())
	late, lateReader := s.dial(t)
	fmt.Fprint(late, "GET /late HTTP/1.1\r\nHost: a\r\n\r\n")
	resp, body := readAnswer(t, br)
	is.Equal(body, "/1 ")
	is.True(resp.Close)
	_, body = readAnswer(t, lateReader)
	is.Equal(body, "/late ")
	_, err := idle.ReadByte()
	is.Equal(err, io.EOF)
	select {
	case err := <-s.done:
		is.NoErr(err)
		s.done <- nil
	case <-time.After(3 * time.Second):
		t.Fatal("the stop did not end within 3 s")
	}
}

// A caller that always has a request in flight must not prevent a stop from ending. After
// the lame duck time no further request is accepted, and the accepted ones are answered.
func TestStopEndsWhileACallerKeepsPipelining(t *testing.T) {
	is := is.New(t)
	s := start(t, func(ctx context.Context, r *Request) *Response {
		time.Sleep(100 * time.Millisecond)
		return echo(ctx, r)
	}, routing.Limits{})
	nc, br := s.dial(t)
	go func() {
		for range 200 {
			if _, err := fmt.Fprint(nc, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
				return
			}
			time.Sleep(25 * time.Millisecond)
		}
	}()
	time.Sleep(200 * time.Millisecond)
	s.stop()
	began := time.Now()
	for {
		resp, body := readAnswer(t, br)
		is.Equal(body, "/1 ")
		if resp.Close {
			break
		}
	}
	is.True(time.Since(began) < time.Second) // The lame duck time and the requests in flight.
	select {
	case err := <-s.done:
		is.NoErr(err)
		s.done <- nil
	case <-time.After(2 * time.Second):
		t.Fatal("the stop did not end within 2 s")
	}
}

// FuzzHeader looks for headers that pass the check, but are interpreted differently by
// another parser: net/http must find the same length and encoding of the body.
// Callers that all came to one VM took its descriptors, so that it could neither say that it is ready nor reach the
// store. The connections that were idle for longest make room for new ones.
func TestCallersDoNotTakeAllDescriptors(t *testing.T) {
	is := is.New(t)
	s := startBounded(t, echo, routing.Limits{}, 50)
	ask := func(nc net.Conn, br *bufio.Reader) error {
		if _, err := io.WriteString(nc, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			return err
		}
		_, err := http.ReadResponse(br, nil)
		return err
	}
	for range 50 {
		is.NoErr(ask(s.dial(t)))
	}
	time.Sleep(minIdleBeforeStop + 50*time.Millisecond)
	var late []net.Conn
	for range 100 {
		nc, br := s.dial(t)
		if ask(nc, br) == nil {
			late = append(late, nc)
		}
		is.True(s.server.openConnections() <= 50+roomPerPause)
	}
	is.True(len(late) >= 50) // The connections that were idle have made room.
}

// Connections that fit the descriptors took more memory than a small VM has: 15,000 with buffers of 16 KB take 360 MB.
func TestConnectionsAreBoundedByMemory(t *testing.T) {
	is := is.New(t)
	limit := func(o Options, headerBytes int) int {
		o.Limits = func() routing.Limits { return routing.Limits{HeaderBytes: headerBytes} }
		return New(o).maxConnections()
	}
	is.Equal(limit(Options{MaxConnections: 15_000, ConnectionMemory: 36 << 20}, 16<<10), 1536)
	is.Equal(limit(Options{MaxConnections: 15_000, ConnectionMemory: 36 << 20}, 64<<10), 512)
	is.Equal(limit(Options{MaxConnections: 100, ConnectionMemory: 36 << 20}, 16<<10), 100)
	is.Equal(limit(Options{ConnectionMemory: 36 << 20}, 16<<10), 1536)
	is.Equal(limit(Options{MaxConnections: 100}, 16<<10), 100)
	is.Equal(limit(Options{}, 16<<10), 0)
}

func TestOldestIdleConnectionsMakeRoom(t *testing.T) {
	is := is.New(t)
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	since := map[string]time.Time{"c": at(3), "a": at(1), "d": at(4), "b": at(2)}
	is.Equal(oldest(since, 2), []string{"a", "b"})
	is.Equal(len(oldest(since, 9)), 4)
}

func FuzzHeader(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /x?y HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\ncontent-length:3\r\nX: y\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var h fasthttp.RequestHeader
		if err := h.Read(bufio.NewReaderSize(strings.NewReader(string(data)), 4096)); err != nil {
			return
		}
		if checkHeader(&h) != nil {
			return
		}
		strict, err := http.ReadRequest(bufio.NewReader(strings.NewReader(string(data))))
		if err != nil {
			return // net/http refuses more headers, which is no second interpretation.
		}
		chunked := len(strict.TransferEncoding) > 0
		if chunked != (h.ContentLength() == -1) {
			t.Fatalf("net/http says chunked %v, fasthttp says length %d: %q", chunked, h.ContentLength(), data)
		}
		if n := int64(max(h.ContentLength(), 0)); !chunked && strict.ContentLength != n {
			t.Fatalf("fasthttp says length %d, net/http says %d: %q", n, strict.ContentLength, data)
		}
	})
}
