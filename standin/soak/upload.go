package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// uploadOneIn is the number of requests of which one, on average, is an upload.
	uploadOneIn = 8
	// minUploadBytes and maxUploadBytes bound the size of an upload's body.
	minUploadBytes = 1 << 10
	maxUploadBytes = 300 << 10
	// uploadPieces is the number of pieces in which a slow upload is sent, and uploadPause the longest
	// pause between two.
	uploadPieces = 6
	uploadPause  = 60 * time.Millisecond
	// brokenOffMark is in the ids of uploads that are broken off. No target may run them.
	brokenOffMark = "-cut"
)

func isBrokenOff(id string) bool { return strings.Contains(id, brokenOffMark) }

// upload sends a request with a large body, in one of four ways: at once, slowly, in chunks, or
// broken off half-way.
func (c *caller) upload(rng *rand.Rand) {
	size := minUploadBytes + rng.IntN(maxUploadBytes-minUploadBytes)
	way := rng.IntN(4)
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	if way == 3 {
		id += brokenOffMark
	}
	id += atMostOnceSuffix
	path := "/upload/" + id
	body := strings.Repeat(id+".", size/(len(id)+1)+1)
	began := time.Now()
	c.checker.noteSent(id)
	if way == 3 {
		c.breakOff(id, path, body)
		return
	}
	send := body
	framing := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	if way == 2 {
		framing = "Transfer-Encoding: chunked\r\n"
		half := len(body) / 2
		send = fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, body[:half], len(body)-half, body[half:])
	}
	pieces := 1
	if way == 1 {
		pieces = uploadPieces
	}
	status, answer, err := c.exchangeBody(id, http.MethodPost, path, framing, func(head string) error { return c.sendPieces(rng, head, send, pieces) })
	c.checkAnswer(id, path, body, began, status, answer, err)
}

// sendPieces sends the header, and the text in pieces with pauses between them. An answer may come
// before the last one, after which the node reads no more, so that an error is left to the reading of
// the answer.
func (c *caller) sendPieces(rng *rand.Rand, head, text string, pieces int) error {
	if _, err := io.WriteString(c.conn, head); err != nil {
		return err
	}
	for i := range pieces {
		from, to := len(text)*i/pieces, len(text)*(i+1)/pieces
		if _, err := io.WriteString(c.conn, text[from:to]); err != nil {
			return nil //nolint:nilerr // The answer, or its absence, says what happened.
		}
		if i < pieces-1 {
			time.Sleep(time.Duration(rng.Int64N(int64(uploadPause))))
		}
	}
	return nil
}

// breakOff sends a part of an upload and closes the connection.
func (c *caller) breakOff(id, path, body string) {
	defer c.closeConn()
	head := c.head(id, http.MethodPost, path) + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	if err := c.conn.SetDeadline(time.Now().Add(callerTimeout)); err != nil {
		return
	}
	// A failed write breaks the upload off as well.
	_, _ = io.WriteString(c.conn, head+body[:len(body)/2])
	c.counts.unanswered.Add(1)
}
