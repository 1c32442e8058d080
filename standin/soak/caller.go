package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// host is the hostname of all routes.
	host = "soak.example"
	// callerTimeout is the deadline that a caller sends with each request.
	callerTimeout = 1500 * time.Millisecond
	// connectTimeout bounds the opening of a connection to a node.
	connectTimeout = time.Second
	// meanCallerPause is the mean pause of a caller between two requests.
	meanCallerPause = 30 * time.Millisecond
	// atMostOnceSuffix ends the ids of requests that must not run twice.
	atMostOnceSuffix = "-once"
)

func isAtMostOnce(id string) bool { return strings.HasSuffix(id, atMostOnceSuffix) }

// caller sends requests to one node. It uses one connection until that is closed.
type caller struct {
	name    string
	node    *node
	checker *checker
	rng     *rand.Rand
	// uploads decides which requests are uploads, and how these are sent.
	uploads *rand.Rand
	// hard decides which requests are those of hard load. It is nil without hard load.
	hard   *rand.Rand
	counts *outcomeCounts
	conn   net.Conn
	reader *bufio.Reader
	sent   int
}

// outcomeCounts counts the requests of all callers by outcome.
type outcomeCounts struct {
	served, refused, failed, unanswered, unconnected atomic.Int64
}

func (c *outcomeCounts) String() string {
	return fmt.Sprintf("served %d, refused %d, failed %d, no answer %d, no connection %d",
		c.served.Load(), c.refused.Load(), c.failed.Load(), c.unanswered.Load(), c.unconnected.Load())
}

func (c *caller) run(ctx context.Context) {
	defer c.closeConn()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(meanCallerPause)))
		c.request()
	}
}

func (c *caller) closeConn() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// request sends one request of a random kind and checks its answer.
func (c *caller) request() {
	if c.conn == nil {
		nc, err := net.DialTimeout("tcp", c.node.callerAddress, connectTimeout)
		if err != nil {
			c.counts.unconnected.Add(1)
			time.Sleep(100 * time.Millisecond)
			return
		}
		c.conn, c.reader = nc, bufio.NewReader(nc)
	}
	c.sent++
	if c.uploads.IntN(uploadOneIn) == 0 {
		c.upload(c.uploads)
		return
	}
	if c.hard != nil && c.hardLoadRequest() {
		return
	}
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	method, path, body := http.MethodGet, "/keyed/"+id, ""
	switch c.rng.IntN(3) {
	case 0:
		id += atMostOnceSuffix
		method, path, body = http.MethodPost, "/once/"+id, "filing of "+id
	case 1:
		path = "/free/" + id
	}
	began := time.Now()
	c.checker.noteSent(id)
	status, answer, err := c.exchange(id, method, path, body)
	c.checkAnswer(id, path, body, began, status, answer, err)
}

// exchange sends the request, reads the whole answer, and returns its status and body.
// It reports answers to another request, and successes without a target's Server-Seal header.
func (c *caller) exchange(id, method, path, body string) (int, string, error) {
	framing := ""
	if body != "" {
		framing = "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	return c.exchangeBody(id, method, path, framing, func(head string) error {
		_, err := io.WriteString(c.conn, head+body)
		return err
	})
}

// head returns the header of a request up to the lines on its body.
func (c *caller) head(id, method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nRequest-Deadline-Ms: %d\r\nShard-Key: %d\r\n",
		method, path, host, id, callerTimeout.Milliseconds(), c.rng.IntN(1<<16))
}

// exchangeBody is exchange with header lines that frame the body and a function that sends the header
// and the body.
func (c *caller) exchangeBody(id, method, path, framing string, send func(head string) error) (int, string, error) {
	head := c.head(id, method, path) + framing + "\r\n"
	if err := c.conn.SetDeadline(time.Now().Add(callerTimeout + connectTimeout)); err != nil {
		return 0, "", err
	}
	if err := send(head); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", err
	}
	if echoed := resp.Header.Get("Attempt-Id"); echoed != id && echoed != "" {
		c.checker.reportBroken("own answers: %s received the answer to %s", id, echoed)
	}
	if resp.StatusCode < 300 && resp.Header.Get("Server-Seal") == "" {
		c.checker.reportBroken("whole answers: %s received a success without a target's Server-Seal header", id)
	}
	if strings.Contains(string(data), brokenMark) {
		c.checker.reportBroken("broken answers: %s received status %d with a part of one", id, resp.StatusCode)
	}
	if resp.Close {
		c.closeConn()
	}
	return resp.StatusCode, string(data), nil
}

func (c *caller) checkAnswer(id, path, body string, began time.Time, status int, answer string, err error) {
	switch {
	case err != nil:
		c.closeConn()
		c.counts.unanswered.Add(1)
		// The node was stopped by SIGTERM and not disturbed otherwise, so that only this
		// planned stop can have ended the connection.
		if c.checker.ran(id) && c.node.onlyTerminatedSince(began.Add(-settleTime)) {
			c.checker.reportBroken("planned stops: %s ran but received no answer from %s: %v", id, c.node.name, err)
		}
	case status < 300:
		c.counts.served.Add(1)
		if !strings.HasSuffix(answer, " "+path+" "+body) {
			c.checker.reportBroken("whole answers: %s received a truncated or wrong body %q", id, answer)
		}
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest:
		c.counts.refused.Add(1)
		if isAtMostOnce(id) {
			c.checker.noteRefusal(id, strconv.Itoa(status)+" "+answer)
		}
	default:
		c.counts.failed.Add(1)
		if status < 500 && c.node.undisturbedSince(began.Add(-settleTime)) {
			c.checker.reportBroken("proper requests: %s received status %d %q from %s", id, status, answer, c.node.name)
		}
	}
}
