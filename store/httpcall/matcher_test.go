package httpcall

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

	"github.com/basiltally/basiltally/store"
)

const uniqueHeader = "Mark"

// startMarkServer starts a server that writes to each call what answer returns, given the number of the connection and of the call on
// it, from 1. It closes the connection after an empty answer.
func startMarkServer(t *testing.T, answer func(conn, call int) string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { ln.Close() })
	serve := func(nc net.Conn, conn int) {
		defer nc.Close()
		reader := bufio.NewReader(nc)
		for call := 1; ; call++ {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			text := answer(conn, call)
			if _, err := io.WriteString(nc, text); err != nil || text == "" {
				return
			}
		}
	}
	go func() {
		for conn := 1; ; conn++ {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(nc, conn)
		}
	}()
	return ln.Addr().String()
}

// answerText returns an answer whose body is the mark, if it has one.
func answerText(status int, mark string) string {
	line := ""
	if mark != "" {
		line = uniqueHeader + ": " + mark + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, line, len(mark), mark)
}

// markOf returns the mark of the answer to a call.
func markOf(conn, call int) string { return fmt.Sprintf("%d-%d", conn, call) }

func newMarkClient(address string) *Client {
	return New(Options{
		Address: address, Timeout: 10 * time.Second, MaxConnections: 1, UniqueHeader: uniqueHeader, IdempotentPath: "/again", ResetOnClose: true,
	})
}

func post(c *Client, path string) (string, error) {
	ans, err := c.Write(context.Background(), Call{Method: http.MethodPost, Path: path, Body: []byte("{}"), Timeout: 10 * time.Second})
	if err != nil {
		return "", err
	}
	return string(ans.Body), nil
}

// Guards against an answer that may be that to another call, and against the next call on a connection that had one.
func TestAnswersToOtherCallsAreSkipped(t *testing.T) {
	first := markOf(1, 1)
	for name, other := range map[string]string{
		"earlier mark":            answerText(http.StatusOK, first),
		"no mark":                 answerText(http.StatusOK, ""),
		"informational, and mark": "HTTP/1.1 103 Early Hints\r\n\r\n" + answerText(http.StatusOK, first),
		"chunks": "HTTP/1.1 200 OK\r\n" + uniqueHeader + ": " + first + "\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n" +
			"3\r\nold\r\n0\r\nX-T: 1\r\n\r\n",
		"no body": "HTTP/1.1 204 No Content\r\n" + uniqueHeader + ": " + first + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newMarkClient(startMarkServer(t, func(conn, call int) string {
				own := answerText(http.StatusOK, markOf(conn, call))
				if conn == 1 && call == 2 {
					return other + own
				}
				return own
			}))
			for _, mark := range []string{first, markOf(1, 2), markOf(2, 1), markOf(2, 2)} {
				body, err := post(c, "/x")
				is.NoErr(err)
				is.Equal(body, mark)
			}
		})
	}
}

// Guards against a write that counts as done or refused because another call was.
func TestCallWithoutACertainAnswerIsUnknown(t *testing.T) {
	other := answerText(http.StatusOK, markOf(1, 1))
	for name, answer := range map[string]string{
		"earlier mark":          other,
		"no mark":               answerText(http.StatusOK, ""),
		"broken behind another": other + "HTTP/1.1 000 X\r\n\r\n",
		"more than are read":    strings.Repeat(other, maxAnswers) + answerText(http.StatusOK, markOf(1, 2)),
		"closed":                "",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newMarkClient(startMarkServer(t, func(conn, call int) string {
				switch {
				case conn > 1 || call == 1:
					return answerText(http.StatusOK, markOf(conn, call))
				case answer == "":
					return ""
				default:
					return answer + "x\r\n\r\n" // No answer, which ends the call.
				}
			}))
			_, err := post(c, "/x")
			is.NoErr(err)
			_, err = post(c, "/x")
			is.True(errors.Is(err, store.ErrUnknown))
			body, err := post(c, "/x")
			is.NoErr(err)
			is.Equal(body, markOf(2, 1))
		})
	}
}

// Guards against a refusal that is taken from another call, or lost, and against the answer to another path.
func TestNoConnectionIsKeptAfterARefusal(t *testing.T) {
	is := is.New(t)
	refusal := answerText(http.StatusConflict, "")
	c := newMarkClient(startMarkServer(t, func(conn, call int) string {
		switch {
		case conn == 1 && call == 2:
			return answerText(http.StatusOK, "y") + answerText(http.StatusOK, "") // That to another path comes first.
		case conn == 2 && call == 1, conn == 3 && call == 2:
			return refusal
		case conn == 2, conn == 3 && call > 2:
			return refusal + answerText(http.StatusOK, "") // It comes once more.
		default:
			return answerText(http.StatusOK, "")
		}
	}))
	for _, refused := range []bool{false, false, true, false, true, false} {
		_, err := post(c, "/again")
		is.Equal(errors.Is(err, store.ErrConflict), refused)
		is.Equal(err != nil, refused)
	}
}

// Guards against a call that is lost on a kept connection, and one that is answered by what a server says at the end of one.
func TestNoCallIsMadeOnAConnectionThatHasEndedOrHasData(t *testing.T) {
	for name, end := range map[string]string{"ended": "", "data": answerText(http.StatusServiceUnavailable, "end")} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var ended atomic.Bool
			written := make(chan struct{})
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer ln.Close()
			go func() {
				for {
					nc, err := ln.Accept()
					if err != nil {
						return
					}
					reader := bufio.NewReader(nc)
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(nc, answerText(http.StatusOK, "first"))
					if !ended.Swap(true) {
						_, _ = io.WriteString(nc, end)
						nc.Close()
						close(written)
					}
				}
			}()
			c := newMarkClient(ln.Addr().String())
			_, err = post(c, "/x")
			is.NoErr(err)
			<-written
			_, err = post(c, "/x")
			is.NoErr(err)
		})
	}
}

// Guards against the rest of an extra answer, of which a part has come with the answer, at the beginning of the next one.
func TestConnectionWithBytesBehindTheAnswerIsNotKept(t *testing.T) {
	is := is.New(t)
	var conns atomic.Int64
	c := newMarkClient(startMarkServer(t, func(conn, call int) string {
		conns.Store(int64(conn))
		return answerText(http.StatusOK, markOf(conn, call)) + "HTTP/1.1 2"
	}))
	for range 3 {
		_, err := post(c, "/x")
		is.NoErr(err)
	}
	is.Equal(conns.Load(), int64(3))
}
