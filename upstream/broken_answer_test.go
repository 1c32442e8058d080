package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// methods are the kinds of requests for which answers are read: downloads, filings and uploads whose body is written while the
// answer is read.
var methods = map[string]func(r *Request){
	"download": func(*Request) {},
	"filing":   func(r *Request) { r.Method, r.Body = http.MethodPost, []byte("filing") },
	"upload": func(r *Request) {
		r.Method, r.Body, r.Deadline = http.MethodPost, make([]byte, 24<<20), time.Now().Add(20*time.Second)
	},
}

// answerEarly returns a script that answers before it reads the body of the request, and reads on.
func answerEarly(text string) script {
	return func(_ *testing.T, nc net.Conn, br *bufio.Reader) {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.WriteString(nc, strings.ReplaceAll(text, "%s", req.Header.Get("X-Id"))); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, br)
	}
}

// checkBroken sends each kind of request to a target that answers with the text, which must not be taken for an answer.
func checkBroken(t *testing.T, text string) {
	t.Helper()
	for name, set := range methods {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tg := startTarget(t, answerEarly(text))
			r := request("1")
			set(r)
			a, f := do(t, New(Options{Headers: testHeaders}), tg, r)
			is.Equal(a, nil)
			is.True(f.Sent && f.InvalidAnswer)
		})
	}
}

// Status 000 reached callers as 200, and an answer after status 099 or 101 as that to their request.
func TestAnswerWithAnInvalidStatusIsAFailure(t *testing.T) {
	for _, status := range []string{"000 Trouble", "000", "099 Early", "101 Switching Protocols", "700 Odd"} {
		t.Run(status, func(t *testing.T) {
			checkBroken(t, strings.Replace(validAnswer, "200 OK", status, 1))
			checkBroken(t, "HTTP/1.1 "+status+"\r\n\r\n"+validAnswer)
		})
	}
}

// A name with a blank was passed on to the caller, and a blank before the colon removed, so that a broken length counted.
func TestAnswerWithAnInvalidHeaderLineIsAFailure(t *testing.T) {
	for _, line := range []string{"X Odd: 1", "Content Length: 1", "X-Odd : 1", "Content-Length : 1", "Transfer-Encoding : chunked", "X-Seal : 1", "X\x00Odd: 1", "X\tOdd: 1"} {
		t.Run(line, func(t *testing.T) {
			checkBroken(t, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: 1\r\n"+line+"\r\nContent-Length: 5\r\n\r\nwhole")
			checkBroken(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nX-Id: %s\r\nX-Seal: 1\r\n\r\n0\r\n\r\n")
			checkBroken(t, "HTTP/1.1 503 Full\r\nX-Id: %s\r\nX-Not-Run: 1\r\n"+line+"\r\n\r\n0\r\n\r\n")
		})
	}
}

func TestAnswerOfAnotherVersionIsAFailure(t *testing.T) {
	checkBroken(t, "HTTP/9.7 200 OK\r\nX-Id: %s\r\nX-Seal: 1\r\nContent-Length: 5\r\n\r\nwhole")
}

// The sizes of the chunks of an HTTP/1.0 answer reached callers as a part of its body.
func TestChunkedAnswerOfAnotherVersionIsAFailure(t *testing.T) {
	tg := startTarget(t, answerInTurn("HTTP/1.0 200 OK\r\nX-Id: %s\r\nX-Seal: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"))
	_, f := do(t, New(Options{Headers: testHeaders}), tg, request("1"))
	is.New(t).True(f != nil && f.InvalidAnswer)
}

// A trailer is not passed on, so that its names say nothing of the answer. Chunks count, not a length beside them.
func TestChunkedAnswerIsWholeWithAnyTrailerOrLength(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: 1\r\nTransfer-Encoding: chunked\r\n"
	for _, text := range []string{
		head + "\r\n5\r\nwhole\r\n0\r\nX Odd: 1\r\nX\x00Odd: 1\r\n\r\n",
		head + "Content-Length: 3\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	} {
		is := is.New(t)
		a, f := do(t, New(Options{Headers: testHeaders}), startTarget(t, answerInTurn(text)), request("1"))
		is.Equal(f, nil)
		is.Equal(string(a.Body), "whole")
		is.True(!strings.Contains(string(a.Header), "Content-Length"))
	}
}

// startEarly starts a target that answers an upload before it reads the body, and then ends the connection.
func startEarly(t *testing.T, status, lines string, end func(nc *net.TCPConn)) *target {
	t.Helper()
	return startTarget(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		if _, err := io.WriteString(nc, "HTTP/1.1 "+status+"\r\nX-Id: 1\r\nX-Seal: 1\r\n"+lines+"\r\nbegun"); err != nil {
			return
		}
		end(nc.(*net.TCPConn))
	})
}

func upload() *Request {
	r := request("1")
	methods["upload"](r)
	return r
}

// The write of an upload took the error of a reset, so that the read of the answer saw its end and callers got the part as whole.
func TestEarlyAnswerWithoutLengthThatIsResetIsAFailure(t *testing.T) {
	// reads is how much of the body the target reads before the reset.
	for name, reads := range map[string]int64{"at once": 0, "after 1 MiB": 1 << 20, "after 8 MiB": 8 << 20} {
		for _, status := range []string{"200 OK", "404 Not Found", "500 Internal Server Error"} {
			t.Run(name+"/"+status, func(t *testing.T) {
				is := is.New(t)
				tg := startEarly(t, status, "", func(nc *net.TCPConn) {
					_, _ = io.CopyN(io.Discard, nc, reads)
					_ = nc.SetLinger(0)
				})
				c := New(Options{Headers: testHeaders})
				for range 5 {
					a, f := do(t, c, tg, upload())
					is.Equal(a, nil)
					is.True(f.Sent && !f.TimedOut)
				}
			})
		}
	}
}

// An end of the data that is no reset ends a body without a length, whether the target reads on or not.
func TestEarlyAnswerWithoutLengthThatEndsCleanlyIsWhole(t *testing.T) {
	for name, after := range map[string]func(nc *net.TCPConn){
		"reads on":          func(nc *net.TCPConn) { _, _ = io.Copy(io.Discard, nc) },
		"reads no more":     func(*net.TCPConn) { time.Sleep(100 * time.Millisecond) },
		"resets afterwards": func(nc *net.TCPConn) { _ = nc.SetLinger(0) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tg := startEarly(t, "200 OK", "", func(nc *net.TCPConn) {
				_ = nc.CloseWrite()
				after(nc)
			})
			c := New(Options{Headers: testHeaders})
			for range 5 {
				a, f := do(t, c, tg, upload())
				is.Equal(f, nil)
				is.Equal(string(a.Body), "begun")
			}
		})
	}
}

// A body with a length is whole once it was read, whatever comes after it.
func TestEarlyAnswerWithLengthIsWholeThoughTheConnectionIsReset(t *testing.T) {
	is := is.New(t)
	tg := startEarly(t, "200 OK", "Content-Length: 5\r\n", func(nc *net.TCPConn) { _ = nc.SetLinger(0) })
	c := New(Options{Headers: testHeaders})
	for range 5 {
		a, f := do(t, c, tg, upload())
		is.Equal(f, nil)
		is.Equal(string(a.Body), "begun")
	}
}
