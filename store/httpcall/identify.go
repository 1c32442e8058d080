package httpcall

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
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

// identifier makes calls that have IDs. A server may send an answer once more, late, so that an answer counts only if it repeats the
// call's ID, or if it has none and nothing was sent or received on the connection before.
type identifier struct {
	header string

	mu sync.Mutex
	// repeats has, for each path, whether the server repeated the ID in its last answer.
	repeats map[string]bool
}

var _ fasthttp.RoundTripper = (*identifier)(nil)

func newIdentifier(header string) *identifier {
	return &identifier{header: header, repeats: map[string]bool{}}
}

// newID returns the ID of a call, in hexadecimal digits.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// identifiedConn is a connection for calls that have IDs.
type identifiedConn struct {
	net.Conn
	// used is set once a call may have been sent.
	used bool
}

// RoundTrip implements fasthttp.RoundTripper. A call whose answer need not have its ID gets a new connection. Such a
// connection is not kept.
func (i *identifier) RoundTrip(hc *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (retry bool, err error) {
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
		conn := cc.Conn().(*identifiedConn)
		reused := conn.used
		if reused && !i.repeatsID(path) || !idleconn.Usable(conn.Conn) {
			hc.CloseConn(cc)
			if !reused {
				return false, errors.WithMessage(errNotSent, "the connection has ended, or has data before the first call")
			}
			continue
		}
		keep, err := i.exchange(hc, conn, path, deadline, req, resp)
		if keep {
			hc.ReleaseConn(cc)
		} else {
			hc.CloseConn(cc)
		}
		return false, err
	}
}

// exchange sends the request on the connection and reads its answer. keep reports whether another call may be made on the connection.
func (i *identifier) exchange(hc *fasthttp.HostClient, conn *identifiedConn, path string, deadline time.Time, req *fasthttp.Request, resp *fasthttp.Response) (keep bool, err error) {
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
	id := string(req.Header.Peek(i.header))
	for n := range maxAnswers {
		if err := readAnswer(br, resp, hc.MaxResponseBodySize); err != nil {
			return false, err
		}
		repeated := string(resp.Header.Peek(i.header))
		if repeated == id {
			i.setRepeatsID(path, true)
			return n == 0 && br.Buffered() == 0 && !resp.ConnectionClose(), nil
		}
		if repeated == "" {
			i.setRepeatsID(path, false)
			if first && n == 0 {
				return false, nil
			}
		}
	}
	return false, errOtherCall
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

// repeatsID reports whether the server has repeated the ID in its last answer to a call of the path.
func (i *identifier) repeatsID(path string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.repeats[path]
}

func (i *identifier) setRepeatsID(path string, repeats bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.repeats[path] = repeats
}
