package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/bodies"
)

// endless returns a script that answers with the beginning and then with the piece again and again, until the caller closes.
func endless(beginning, piece string) script {
	return func(_ *testing.T, nc net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		if _, err := io.WriteString(nc, beginning); err != nil {
			return
		}
		pieces := []byte(strings.Repeat(piece, 1+(64<<10)/len(piece)))
		for {
			if _, err := nc.Write(pieces); err != nil {
				return
			}
		}
	}
}

// Bytes without end must neither hold a request beyond its deadline nor take memory without bound, whichever part of the
// answer they are in.
func TestEndlessAnswersAreGivenUp(t *testing.T) {
	const (
		ok         = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: 1\r\n"
		maxBytes   = 8 << 20
		concurrent = 8
		// mostAllocated allows each request the whole bound, for a buffer that doubles and is copied.
		mostAllocated = concurrent * 4 * maxBytes
	)
	chunk := "400\r\n" + strings.Repeat("x", 1024) + "\r\n"
	tests := map[string]script{
		"status line":       endless("HTTP/1.1 200 ", "x"),
		"not HTTP":          endless("", "x"),
		"header line":       endless(ok+"X-Long: ", "x"),
		"header lines":      endless(ok, "X-Many: 1\r\n"),
		"informational":     endless("", "HTTP/1.1 100 Continue\r\n\r\n"),
		"body without end":  endless(ok+"\r\n", "x"),
		"chunked body":      endless(ok+"Transfer-Encoding: chunked\r\n\r\n", chunk),
		"chunk size":        endless(ok+"Transfer-Encoding: chunked\r\n\r\n", "0"),
		"chunk extension":   endless(ok+"Transfer-Encoding: chunked\r\n\r\n4;", "x"),
		"trailer line":      endless(ok+"Transfer-Encoding: chunked\r\n\r\n0\r\nX-T: ", "x"),
		"trailer lines":     endless(ok+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-T: 1\r\n"),
		"long body":         endless(ok+"Content-Length: 60000000\r\n\r\n", "x"),
		"answers to others": endless("", "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Seal: 1\r\nContent-Length: 1\r\n\r\nx"),
	}
	for name, s := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tg := startTarget(t, s)
			memory := bodies.NewMemory(maxBytes)
			c := New(Options{Headers: testHeaders, Memory: memory})
			c.SetLimit(concurrent)
			var before runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			began := time.Now()
			var wg sync.WaitGroup
			for range concurrent {
				wg.Go(func() {
					_, f := do(t, c, tg, request("1"))
					is.True(f != nil && f.Sent)
				})
			}
			wg.Wait()
			is.True(time.Since(began) < 5*time.Second) // The deadline is 2 s.
			var after runtime.MemStats
			runtime.ReadMemStats(&after)
			is.True(after.TotalAlloc-before.TotalAlloc < mostAllocated)
			is.Equal(memory.Used(), int64(0))
		})
	}
}

func TestBytesAfterTheAnswerAreNotRead(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, endless("HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: 1\r\nContent-Length: 2\r\n\r\nok", "x"), answerInTurn(validAnswer))
	c := New(Options{Headers: testHeaders})
	a, f := do(t, c, tg, request("1"))
	is.Equal(f, nil)
	is.Equal(string(a.Body), "ok")
	time.Sleep(50 * time.Millisecond) // The bytes arrive.
	_, f = do(t, c, tg, request("2"))
	is.Equal(f, nil)
	is.Equal(len(tg.conns), 2)
}
