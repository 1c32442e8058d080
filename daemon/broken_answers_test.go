package daemon

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/standin/rawanswer"
)

const (
	uploadBytes = 24 << 20
	// patience is how long a caller waits, far longer than any answer takes here.
	patience = 20 * time.Second
)

// startRawTarget replaces the targets of the service "free" by one that answers as given.
func (b *testPlatform) startRawTarget(o rawanswer.Options) {
	b.t.Helper()
	o.RequestID = "Attempt-Id"
	address := rawanswer.Start(b.t, o)
	for _, id := range []string{"f0", "f1", "f2", "raw"} {
		b.store.Delete("servers", id)
	}
	b.store.Put("servers", "raw", b.targets["f0"].Entry(address, "dc1", "ready", 1))
	b.eventually("the VM knows only the target that answers as given", func() bool {
		n := 0
		for _, t := range b.nodes[0].process.directory.Snapshot().ByID {
			if t.Service == "free" {
				n++
				if t.Address != address {
					return false
				}
			}
		}
		return n == 1
	})
}

// sendBody sends a request with a body to the first VM and returns the answer as the caller gets it: whole, or an error.
func (b *testPlatform) sendBody(method, path string, body []byte) (status int, received string, err error) {
	b.requests++
	req, err := http.NewRequestWithContext(b.t.Context(), method, "http://"+b.nodes[0].settings.Gateway.Listen+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = "h"
	req.Header.Set("Attempt-Id", fmt.Sprint("id-", b.requests))
	req.Header.Set("Request-Deadline-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// Answers that were broken reached callers (issue 39): each of them must fail, a download, a filing and an upload.
func TestBrokenAnswersDoNotReachCallers(t *testing.T) {
	const sealed = "Attempt-Id: %s\r\nServer-Seal: 1\r\n"
	b := newTestPlatform(t)
	b.putConfigWith(2, "free", patience, 2*uploadBytes)
	b.startReadyNode("vm1")
	reset := func(nc *net.TCPConn) { _ = nc.SetLinger(0) }
	whole := func(*net.TCPConn) {}
	for name, o := range map[string]rawanswer.Options{
		"status 000":             {Answer: "HTTP/1.1 000 Trouble\r\n" + sealed + "Content-Length: 5\r\n\r\nbegun", End: whole},
		"status 000, no reason":  {Answer: "HTTP/1.1 000\r\n" + sealed + "Content-Length: 5\r\n\r\nbegun", End: whole},
		"status 099":             {Answer: "HTTP/1.1 099 Early\r\n" + sealed + "\r\nHTTP/1.1 200 OK\r\n" + sealed + "\r\nbegun", End: whole},
		"status 101":             {Answer: "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n" + sealed + "\r\nbegun", End: whole},
		"reset, 200":             {Answer: "HTTP/1.1 200 OK\r\n" + sealed + "\r\nbegun", Early: true, End: reset},
		"reset, 404":             {Answer: "HTTP/1.1 404 Not Found\r\n" + sealed + "\r\nbegun", Early: true, End: reset},
		"blank in a name":        {Answer: "HTTP/1.1 200 OK\r\n" + sealed + "X Odd: 1\r\n\r\nbegun", End: whole},
		"blank before the colon": {Answer: "HTTP/1.1 200 OK\r\n" + sealed + "Content-Length : 2\r\n\r\nbegun", End: whole},
		"control byte in a name": {Answer: "HTTP/1.1 200 OK\r\n" + sealed + "X\x01Odd: 1\r\n\r\nbegun", End: whole},
		"chunks of HTTP/1.0":     {Answer: "HTTP/1.0 200 OK\r\n" + sealed + "Transfer-Encoding: chunked\r\n\r\n5\r\nbegun\r\n0\r\n\r\n", End: whole},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b.startRawTarget(o)
			for _, send := range []func() (int, string, error){
				func() (int, string, error) { return b.sendBody(http.MethodGet, "/safe/x", nil) },
				func() (int, string, error) { return b.sendBody(http.MethodPost, "/unsafe/x", []byte("filing")) },
				func() (int, string, error) {
					return b.sendBody(http.MethodPost, "/unsafe/x", make([]byte, uploadBytes))
				},
			} {
				status, _, err := send()
				is.NoErr(err)
				is.Equal(status, http.StatusBadGateway)
			}
		})
	}
}

// Whole answers go on reaching callers, however unusual.
func TestUnusualWholeAnswersReachCallers(t *testing.T) {
	const sealed = "Attempt-Id: %s\r\nServer-Seal: 1\r\n"
	b := newTestPlatform(t)
	b.putConfigWith(2, "free", patience, 2*uploadBytes)
	b.startReadyNode("vm1")
	closed := func(*net.TCPConn) {}
	readOn := func(nc *net.TCPConn) {
		_ = nc.CloseWrite()
		_, _ = io.Copy(io.Discard, nc)
	}
	for name, o := range map[string]rawanswer.Options{
		"no length":                       {Answer: "HTTP/1.1 200 OK\r\n" + sealed + "\r\nwhole", End: closed},
		"early, with a length":            {Answer: "HTTP/1.1 200 OK\r\n" + sealed + "Content-Length: 5\r\n\r\nwhole", Early: true, End: readOn},
		"early, ends while the body goes": {Answer: "HTTP/1.1 200 OK\r\n" + sealed + "\r\nwhole", Early: true, End: readOn},
		"HTTP/1.0":                        {Answer: "HTTP/1.0 200 OK\r\n" + sealed + "\r\nwhole", End: closed},
		"informational answers":           {Answer: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + sealed + "Content-Length: 5\r\n\r\nwhole"},
		"chunks and a trailer":            {Answer: "HTTP/1.1 200 OK\r\n" + sealed + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX Odd: 1\r\n\r\n"},
		"value on two lines":              {Answer: "HTTP/1.1 200 OK\r\n" + sealed + "X-Two: a\r\n b\r\nContent-Length: 5\r\n\r\nwhole"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b.startRawTarget(o)
			for _, body := range [][]byte{nil, []byte("filing"), make([]byte, uploadBytes)} {
				status, received, err := b.sendBody(http.MethodPost, "/unsafe/x", body)
				is.NoErr(err)
				is.Equal(status, http.StatusOK)
				is.Equal(received, "whole")
			}
		})
	}
}
