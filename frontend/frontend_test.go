package frontend

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
	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/pipeline"
)

// server is a running Frontend.
type server struct {
	frontend *Frontend
	address  string
	stop     func()
	// done receives the result of Run.
	done chan error
}

// start runs a Frontend on a free loopback port until the end of the test.
func start(t *testing.T, opts Options, h pipeline.HandlerFunc) *server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	opts.Address = ln.Addr().String()
	ln.Close()
	opts.Handler = h
	opts.DrainLinger = max(opts.DrainLinger, 1)
	opts.DrainDelay = max(opts.DrainDelay, 1)
	f := New(opts)
	ctx, cancel := context.WithCancel(context.Background())
	s := &server{f, opts.Address, cancel, make(chan error, 1)}
	go func() { s.done <- f.Run(ctx) }()
	select {
	case <-f.Ready():
	case err := <-s.done:
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		if err := <-s.done; err != nil {
			t.Error(err)
		}
		s.done <- nil
	})
	return s
}

func (s *server) dial(t *testing.T) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return nc
}

// waitForOverflow returns once a connection has dropped bytes.
func (s *server) waitForOverflow() {
	overflow := false
	for !overflow {
		time.Sleep(time.Millisecond)
		s.frontend.conns.Range(func(c, _ any) bool {
			c.(*conn).mu.Lock()
			overflow = c.(*conn).overflow
			c.(*conn).mu.Unlock()
			return !overflow
		})
	}
}

// echoPath answers with the path.
func echoPath(req *pipeline.Request) error {
	req.Answer.SetBodyString("path " + string(req.HTTP.Header.RequestURI()))
	return nil
}

// source is an answer's body that counts what is read of it.
type source struct {
	req   *pipeline.Request
	left  int
	taken atomic.Int64
	// fail makes the body end early with an error.
	fail bool
	// halfway is called once half of the body was read.
	halfway func()
}

func (s *source) Read(p []byte) (int, error) {
	if s.left == 0 && s.fail {
		return 0, errors.New("the target's connection broke")
	}
	if s.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), s.left)
	s.left -= n
	if taken := s.taken.Add(int64(n)); s.halfway != nil && taken > int64(s.left) {
		s.halfway()
		s.halfway = nil
	}
	return n, nil
}

func (s *source) Close() error {
	s.req.End(nil)
	return nil
}

func (s *source) serve(size int) pipeline.HandlerFunc {
	return func(req *pipeline.Request) error {
		s.req = req
		req.BeginStream()
		req.Answer.SetBodyStream(s, size)
		return nil
	}
}

func TestAnswersPipelinedRequestsInOrder(t *testing.T) {
	is := is.New(t)
	s := start(t, Options{}, echoPath)
	nc := s.dial(t)
	br := bufio.NewReader(nc)
	fmt.Fprint(nc, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	for i := range 2 {
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(body), fmt.Sprintf("path /%d", i+1))
	}
}

func TestRefusesWhatItCannotReceive(t *testing.T) {
	opts := Options{HeaderBytes: 1024, BodyBytes: 4096, HeaderTimeout: 50 * time.Millisecond}
	tests := []struct{ name, send, code string }{
		{"garbage", "no HTTP\r\n\r\n", "1001"},
		{"long header", "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 2000), "1001"},
		{"long body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99000\r\n\r\n" + strings.Repeat("x", 99000), "1004"},
		{"slow header", "GET / HTTP/1.1\r\nHo", "1007"},
	}
	s := start(t, opts, echoPath)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			nc := s.dial(t)
			fmt.Fprint(nc, tt.send)
			resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
			is.NoErr(err)
			is.Equal(resp.Header.Get(pipeline.HeaderCode), tt.code)
			is.Equal(resp.Header.Get(pipeline.HeaderOutcome), "not-run")
		})
	}
}

// TestRequestsAheadAreBounded sends far more requests ahead than are buffered.
func TestRequestsAheadAreBounded(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s := start(t, Options{HeaderBytes: 1024, BodyBytes: 1024}, func(req *pipeline.Request) error {
		<-release
		return echoPath(req)
	})
	nc := s.dial(t)
	fmt.Fprint(nc, strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 1000))
	s.waitForOverflow()
	close(release)
	br := bufio.NewReader(nc)
	code := ""
	for answers := 0; code == ""; answers++ {
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		io.Copy(io.Discard, resp.Body)
		code = resp.Header.Get(pipeline.HeaderCode)
		is.True(answers < 1000)
	}
	is.Equal(code, "1008")
}

// TestSlowReaderIsBufferedWithinBounds compares, throughout a transfer, what was
// taken from the source with what the caller has read.
func TestSlowReaderIsBufferedWithinBounds(t *testing.T) {
	is := is.New(t)
	const size = 96 << 20
	const bound = 24 << 20 // The kernel's buffers on both ends and our own.
	src := &source{left: size}
	s := start(t, Options{}, src.serve(size))
	nc := s.dial(t)
	fmt.Fprint(nc, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	is.NoErr(err)
	read := int64(0)
	for read < size {
		time.Sleep(20 * time.Millisecond)
		if ahead := src.taken.Load() - read; ahead > bound {
			t.Fatalf("%d bytes were taken ahead of the caller", ahead)
		}
		n, err := io.CopyN(io.Discard, resp.Body, size/8)
		is.NoErr(err)
		read += n
	}
}

func TestShortBodyAbortsTheConnection(t *testing.T) {
	for _, size := range []int{1 << 20, -1} {
		is := is.New(t)
		src := &source{left: 1 << 19, fail: true}
		s := start(t, Options{}, src.serve(size))
		resp, err := http.Get("http://" + s.address)
		is.NoErr(err)
		_, err = io.ReadAll(resp.Body)
		is.True(err != nil)
	}
}

func TestCallerGoneEndsTheContext(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{})
	cause := make(chan error)
	s := start(t, Options{}, func(req *pipeline.Request) error {
		close(started)
		<-req.Context.Done()
		cause <- context.Cause(req.Context)
		return nil
	})
	nc := s.dial(t)
	fmt.Fprint(nc, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-started
	nc.Close()
	is.Equal(<-cause, pipeline.ErrCallerGone)
}

// TestStopFinishesWhatIsInFlight stops the entry when half of a large body is sent.
func TestStopFinishesWhatIsInFlight(t *testing.T) {
	is := is.New(t)
	const size = 64 << 20
	half := make(chan struct{})
	src := &source{left: size, halfway: func() { close(half) }}
	s := start(t, Options{DrainLinger: 200 * time.Millisecond}, func(req *pipeline.Request) error {
		if string(req.HTTP.Header.RequestURI()) == "/pack" {
			return src.serve(size)(req)
		}
		return echoPath(req)
	})
	idle := s.dial(t)
	busy := s.dial(t)
	fmt.Fprint(busy, "GET /pack HTTP/1.1\r\nHost: a\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(busy), nil)
	is.NoErr(err)
	read, err := io.CopyN(io.Discard, resp.Body, size/2)
	is.NoErr(err)
	<-half
	s.stop()
	rest, err := io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	is.Equal(read+rest, int64(size))
	// The idle connection ends without an answer or with a refusal, never cut within one.
	fmt.Fprint(idle, "GET /late HTTP/1.1\r\nHost: a\r\n\r\n")
	if resp, err := http.ReadResponse(bufio.NewReader(idle), nil); err == nil {
		is.Equal(resp.Header.Get(pipeline.HeaderCode), "1104")
	}
	err = <-s.done
	is.NoErr(err)
	s.done <- err
}

// TestStopServesDuringNotice stops the entry and sends a request before the
// balancer can know.
func TestStopServesDuringNotice(t *testing.T) {
	is := is.New(t)
	s := start(t, Options{DrainDelay: time.Hour}, echoPath)
	nc := s.dial(t)
	s.stop()
	for !s.frontend.Stopping() {
		time.Sleep(time.Millisecond)
	}
	fmt.Fprint(nc, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	is.True(resp.Close)
	s.frontend.notice <- struct{}{}
}

// TestHardLimitCutsOff stops the entry while a caller takes nothing.
func TestHardLimitCutsOff(t *testing.T) {
	is := is.New(t)
	src := &source{left: 256 << 20}
	s := start(t, Options{StopTimeout: 50 * time.Millisecond}, src.serve(256<<20))
	nc := s.dial(t)
	fmt.Fprint(nc, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	is.NoErr(err)
	s.stop()
	err = <-s.done
	is.NoErr(err)
	_, err = io.Copy(io.Discard, resp.Body)
	is.True(err != nil) // The caller can tell that the body is short.
	s.done <- nil
}
