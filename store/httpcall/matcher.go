package httpcall

import (
	"bufio"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/httphead"
	"github.com/basiltally/basiltally/idleconn"
)

const (
	// maxAnswers bounds the answers that are read for one call, including those to other calls.
	maxAnswers = 4
	// maxInformational bounds the 1xx answers before a final one.
	maxInformational = 8
)

// errOtherCall reports that no answer is certainly that to the call.
var errOtherCall = errors.New("the answers belong to other calls")

// matcher makes calls and tells which answers are theirs. A server may send an answer once more, late, so that an answer counts only if
// something shows that it belongs to the call: see Options.UniqueHeader.
type matcher struct {
	uniqueHeader, idempotentPath string

	mu sync.Mutex
	// unmarked has the paths whose last certain answer had no unique header.
	unmarked map[string]bool
}

var _ fasthttp.RoundTripper = (*matcher)(nil)

func newMatcher(o Options) *matcher {
	return &matcher{uniqueHeader: o.UniqueHeader, idempotentPath: o.IdempotentPath, unmarked: map[string]bool{}}
}

// maxUniqueValues bounds the values of the unique header that are kept for a connection.
const maxUniqueValues = 16

// matchedConn is a connection of a matcher.
type matchedConn struct {
	net.Conn
	// used is set once a call may have been sent.
	used bool
	// uniqueValues are the values of the unique header in the answers so far.
	uniqueValues []string
}

// isNew reports whether no earlier answer on the connection had the value of the unique header, and adds it.
func (c *matchedConn) isNew(value string) bool {
	if value == "" || slices.Contains(c.uniqueValues, value) {
		return false
	}
	c.uniqueValues = append(c.uniqueValues, value)
	return true
}

// RoundTrip implements fasthttp.RoundTripper. A call gets a new connection if nothing but that would show which answer is its own.
func (m *matcher) RoundTrip(hc *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (retry bool, err error) {
	deadline := time.Now().Add(req.GetTimeOut())
	path := string(req.URI().Path())
	for {
		left := time.Until(deadline)
		if left <= 0 {
			return false, errors.WithMessage(errNotSent, "no time left")
		}
		cc, err := hc.AcquireConn(left, false)
		if err != nil {
			return false, err
		}
		conn := cc.Conn().(*matchedConn)
		reused := conn.used
		if reused && !m.reuses(path) || !idleconn.Usable(conn.Conn) {
			hc.CloseConn(cc)
			if !reused {
				return false, errors.WithMessage(errNotSent, "the connection has ended, or has data before the first call")
			}
			continue
		}
		keep, err := m.exchange(hc, conn, path, deadline, req, resp)
		if keep {
			hc.ReleaseConn(cc)
		} else {
			hc.CloseConn(cc)
		}
		return false, err
	}
}

// exchange sends the request on the connection and reads its answer. keep reports whether another call may be made on the connection.
func (m *matcher) exchange(hc *fasthttp.HostClient, conn *matchedConn, path string, deadline time.Time, req *fasthttp.Request, resp *fasthttp.Response) (keep bool, err error) {
	first := !conn.used
	conn.used = true
	if err := conn.SetDeadline(deadline); err != nil {
		return false, err
	}
	bw := hc.AcquireWriter(conn)
	defer hc.ReleaseWriter(bw)
	if err := req.Write(bw); err != nil {
		return false, err
	}
	if err := bw.Flush(); err != nil {
		return false, err
	}
	br := hc.AcquireReader(conn)
	defer hc.ReleaseReader(br)
	for n := range maxAnswers {
		if err := readAnswer(br, resp, hc.MaxResponseBodySize); err != nil {
			return false, err
		}
		if m.belongs(conn, path, resp, first && n == 0) {
			// A refusal that comes once more must not meet another call.
			return n == 0 && isSuccess(resp) && br.Buffered() == 0 && !resp.ConnectionClose() && len(conn.uniqueValues) < maxUniqueValues, nil
		}
	}
	return false, errOtherCall
}

// belongs reports whether an answer belongs to the call of the path, and notes what it shows. first is set if nothing was sent or
// received on the connection before the call.
func (m *matcher) belongs(conn *matchedConn, path string, resp *fasthttp.Response, first bool) bool {
	unique := string(resp.Header.Peek(m.uniqueHeader))
	isNew := conn.isNew(unique)
	switch {
	case first:
		m.setUnmarked(path, unique == "")
		return true
	case !isSuccess(resp):
		return true // Earlier calls on the connection were not refused.
	case path == m.idempotentPath:
		return unique == ""
	default:
		return isNew
	}
}

func isSuccess(resp *fasthttp.Response) bool { return resp.StatusCode() < http.StatusMultipleChoices }

// reuses reports whether a call of the path may be made on a connection that had earlier calls.
func (m *matcher) reuses(path string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return path == m.idempotentPath || !m.unmarked[path]
}

func (m *matcher) setUnmarked(path string, unmarked bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unmarked[path] = unmarked
}

// readAnswer reads the next final answer, whose body has at most maxBody bytes, and checks its head.
func readAnswer(br *bufio.Reader, resp *fasthttp.Response, maxBody int) error {
	for range maxInformational {
		if err := httphead.ReadAnswer(br, &resp.Header); err != nil {
			return err
		}
		if resp.StatusCode() >= http.StatusOK {
			return readBody(br, resp, maxBody)
		}
	}
	return errors.New("too many informational answers")
}

func readBody(br *bufio.Reader, resp *fasthttp.Response, maxBody int) error {
	if status := resp.StatusCode(); resp.SkipBody || status == http.StatusNoContent || status == http.StatusNotModified {
		resp.ResetBody()
		return nil
	}
	chunked := resp.Header.ContentLength() == chunkedLength
	if err := resp.ReadBody(br, maxBody); err != nil || !chunked {
		return err
	}
	return resp.Header.ReadTrailer(br)
}

// chunkedLength is the value of fasthttp.ResponseHeader.ContentLength for a body in chunks.
const chunkedLength = -1
