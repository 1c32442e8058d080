package httpcall

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/store"
)

const idHeader = "Call-Id"

// startIDServer starts a server that writes to each call what answer returns, given the number of the connection and of the call on it,
// from 1, and the ID. It closes the connection after an empty answer.
func startIDServer(t *testing.T, answer func(conn, call int, id string) string) string {
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
			text := answer(conn, call, r.Header.Get(idHeader))
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

func answerText(status int, id, body string) string {
	if id != "" {
		id = idHeader + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, id, len(body), body)
}

func newIDClient(address string) *Client {
	return New(Options{Address: address, Timeout: 10 * time.Second, MaxConnections: 1, IDHeader: idHeader, ResetOnClose: true})
}

func post(c *Client) (string, error) {
	ans, err := c.Write(context.Background(), Call{Method: http.MethodPost, Path: "/x", Body: []byte("{}"), Timeout: 10 * time.Second})
	if err != nil {
		return "", err
	}
	return string(ans.Body), nil
}

// Guards against an answer that may be that to another call, and against the next call on a connection that had one.
func TestAnswersToOtherCallsAreSkipped(t *testing.T) {
	for name, other := range map[string]string{
		"other ID":              answerText(http.StatusConflict, "other", "old"),
		"no ID":                 answerText(http.StatusServiceUnavailable, "", "old"),
		"informational, and ID": "HTTP/1.1 103 Early Hints\r\n\r\n" + answerText(http.StatusOK, "other", "old"),
		"chunks": "HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n" +
			"3\r\nold\r\n0\r\nX-T: 1\r\n\r\n",
		"no body": "HTTP/1.1 204 No Content\r\n" + idHeader + ": other\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var conns atomic.Int64
			c := newIDClient(startIDServer(t, func(conn, call int, id string) string {
				conns.Store(int64(conn))
				own := answerText(http.StatusOK, id, id)
				if conn == 1 && call == 2 {
					return other + own
				}
				return own
			}))
			seen := map[string]bool{}
			for range 4 {
				body, err := post(c)
				is.NoErr(err)
				is.True(body != "" && !seen[body])
				seen[body] = true
			}
			is.Equal(conns.Load(), int64(2))
		})
	}
}

// Guards against a write that counts as refused because another call was.
func TestCallWithoutACertainAnswerIsUnknown(t *testing.T) {
	for name, answer := range map[string]func(id string) string{
		"other ID on a new connection": func(string) string { return answerText(http.StatusConflict, "other", "") },
		"no ID behind another":         func(string) string { return answerText(http.StatusOK, "other", "") + answerText(http.StatusOK, "", "") },
		"ID repeated in part":          func(id string) string { return answerText(http.StatusOK, id[:8], "") },
		"closed":                       func(string) string { return "" },
		"broken behind another":        func(string) string { return answerText(http.StatusOK, "other", "") + "HTTP/1.1 000 X\r\n\r\n" },
		"more than are read": func(id string) string {
			text := ""
			for range maxAnswers {
				text += answerText(http.StatusOK, "other", "")
			}
			return text + answerText(http.StatusOK, id, "")
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newIDClient(startIDServer(t, func(_, _ int, id string) string {
				text := answer(id)
				if text == "" {
					return ""
				}
				return text + "x\r\n\r\n" // No answer, which ends the call.
			}))
			for range 2 {
				_, err := c.Write(context.Background(), Call{Method: http.MethodPost, Path: "/x", Timeout: 10 * time.Second})
				is.True(errors.Is(err, store.ErrUnknown))
			}
		})
	}
}

// Guards against a server that always fails because it states no ID in refusals.
func TestRefusalWithoutAnIDCountsOnANewConnection(t *testing.T) {
	is := is.New(t)
	var refuses atomic.Bool
	c := newIDClient(startIDServer(t, func(_, _ int, id string) string {
		if refuses.Load() {
			return answerText(http.StatusConflict, "", "")
		}
		return answerText(http.StatusOK, id, "")
	}))
	_, err := post(c)
	is.NoErr(err)
	refuses.Store(true)
	_, err = c.Write(context.Background(), Call{Method: http.MethodPost, Path: "/x", Timeout: 300 * time.Millisecond})
	is.True(errors.Is(err, store.ErrUnknown)) // On the kept connection, it may be the answer to another call.
	_, err = post(c)
	is.True(errors.Is(err, store.ErrConflict))
	refuses.Store(false)
	_, err = post(c)
	is.NoErr(err)
}

// Guards against a call that is lost on a kept connection, and one that is answered by what a server says at the end of one.
func TestNoCallIsMadeOnAConnectionThatHasEndedOrHasData(t *testing.T) {
	for name, end := range map[string]string{"ended": "", "data": answerText(http.StatusServiceUnavailable, "", "")} {
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
					_, _ = io.WriteString(nc, answerText(http.StatusOK, r.Header.Get(idHeader), ""))
					if !ended.Swap(true) {
						_, _ = io.WriteString(nc, end)
						nc.Close()
						close(written)
					}
				}
			}()
			c := newIDClient(ln.Addr().String())
			_, err = post(c)
			is.NoErr(err)
			<-written
			_, err = post(c)
			is.NoErr(err)
		})
	}
}

// Guards against the rest of an extra answer, of which a part has come with the answer, at the beginning of the next one.
func TestConnectionWithBytesBehindTheAnswerIsNotKept(t *testing.T) {
	is := is.New(t)
	var conns atomic.Int64
	c := newIDClient(startIDServer(t, func(conn, _ int, id string) string {
		conns.Store(int64(conn))
		return answerText(http.StatusOK, id, "") + "HTTP/1.1 2"
	}))
	for range 3 {
		_, err := post(c)
		is.NoErr(err)
	}
	is.Equal(conns.Load(), int64(3))
}
