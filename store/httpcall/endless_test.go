package httpcall

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startEndless starts a server that answers each request with the beginning, and then with the piece again and again
// until the caller closes.
func startEndless(t *testing.T, beginning, piece string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { ln.Close() })
	pieces := []byte(strings.Repeat(piece, 1+(64<<10)/len(piece)))
	serve := func(nc net.Conn) {
		defer nc.Close()
		if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
			return
		}
		_, err := io.WriteString(nc, beginning)
		for err == nil {
			_, err = nc.Write(pieces)
		}
	}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(nc)
		}
	}()
	return ln.Addr().String()
}

// A faulty instance sent bytes without end, in a head or in a body, and the VM that had called it kept them all.
func TestEndlessAnswersAreGivenUp(t *testing.T) {
	const (
		ok            = "HTTP/1.1 200 OK\r\n"
		timeout       = time.Second
		mostAllocated = 16 << 20
	)
	chunk := "400\r\n" + strings.Repeat("x", 1024) + "\r\n"
	for name, answer := range map[string][2]string{
		"status line":     {"HTTP/1.1 200 ", "x"},
		"not HTTP":        {"", "x"},
		"empty lines":     {"", "\r\n"},
		"header line":     {ok + "X-Long: ", "x"},
		"header lines":    {ok, "X-Many: 1\r\n"},
		"informational":   {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"early hints":     {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"body":            {ok + "\r\n", "x"},
		"long body":       {ok + "Content-Length: 60000000\r\n\r\n", "x"},
		"chunked body":    {ok + "Transfer-Encoding: chunked\r\n\r\n", chunk},
		"chunk size":      {ok + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension": {ok + "Transfer-Encoding: chunked\r\n\r\n4;", "x"},
		"trailer line":    {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-T: ", "x"},
		"trailer lines":   {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-T: 1\r\n"},
	} {
		check := func(t *testing.T, header string) {
			is := is.New(t)
			c := New(Options{
				Address: startEndless(t, answer[0], answer[1]), Timeout: timeout, MaxConnections: 2, MaxAnswerBytes: 64 << 10, UniqueHeader: header,
			})
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			began := time.Now()
			_, err := c.Write(context.Background(), Call{Method: http.MethodPost, Path: "/x", Timeout: timeout})
			took := time.Since(began)
			runtime.ReadMemStats(&after)
			is.True(err != nil)
			is.True(took < 3*timeout)
			is.True(after.TotalAlloc-before.TotalAlloc < mostAllocated)
		}
		t.Run(name, func(t *testing.T) { check(t, "") })
		t.Run(name+", with a unique header", func(t *testing.T) { check(t, uniqueHeader) })
	}
}
