package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
)

const (
	// longAnswer is the length of the answers that callers read slowly or not at all, in bytes.
	longAnswer = 200 << 10
	// slowReadPause is the pause of a slow caller before each piece of slowPiece bytes, and slowBuffer
	// the size of its receive buffer.
	slowReadPause = 15 * time.Millisecond
	slowPiece     = 4 << 10
	slowBuffer    = 16 << 10
	// maxUnread bounds how long a caller leaves an answer unread.
	maxUnread = 4 * time.Second
	// hardLoadOneIn is the number of requests of which one, on average, is read slowly, and another one not at all.
	hardLoadOneIn = 60
)

// slowReader reads small pieces, with a pause before each.
type slowReader struct{ from io.Reader }

func (s slowReader) Read(b []byte) (int, error) {
	time.Sleep(slowReadPause)
	return s.from.Read(b[:min(len(b), slowPiece)])
}

// hardLoadRequest sends a request of a kind that is played under hard load only. It returns false if the next request is
// to be one of the usual kinds.
func (c *caller) hardLoadRequest() bool {
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	path, pad := "/free/"+id, fmt.Sprintf("?pad=%d", longAnswer)
	switch kind := c.hard.IntN(hardLoadOneIn); {
	case kind > 1 && kind < hardLoadOneIn/6:
		began := time.Now()
		path = "/home/" + id
		c.checker.noteSent(id)
		status, answer, err := c.exchange(id, http.MethodGet, path, "")
		c.checkAnswer(id, path, "", began, status, answer, err)
	case kind == 0:
		c.readSlowly()
		began := time.Now()
		c.checker.noteSent(id)
		defer c.closeConn()
		status, answer, err := c.exchange(id, http.MethodGet, path+pad, "")
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.counts.unanswered.Add(1)
			break // The caller was too slow, which is not the node's fault.
		}
		c.checkAnswer(id, path+pad, "", began, status, answer, err)
	case kind == 1:
		defer c.closeConn()
		c.readSlowly()
		method := http.MethodGet
		if c.hard.IntN(2) == 0 {
			id += atMostOnceSuffix
			method, path = http.MethodPost, "/once/"+id
		}
		c.checker.noteSent(id)
		c.counts.unanswered.Add(1)
		// A failed write leaves nothing unread.
		_, _ = io.WriteString(c.conn, c.head(id, method, path+pad)+"Content-Length: 0\r\n\r\n")
		time.Sleep(time.Duration(c.hard.Int64N(int64(maxUnread))))
	default:
		return false
	}
	return true
}

// readSlowly makes the caller read its present connection slowly.
func (c *caller) readSlowly() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(slowBuffer) // It fails only if the connection has ended.
	}
	c.reader = bufio.NewReaderSize(slowReader{c.conn}, slowPiece)
}
