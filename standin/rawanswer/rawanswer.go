// Package rawanswer is a server whose answers are given byte by byte, so that they need not be valid.
package rawanswer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Options configures a server.
type Options struct {
	// Answer is sent as it is in answer to each request. In it, %s stands for the ID of the request.
	Answer string
	// RequestID is the name of the header with the ID of a request.
	RequestID string
	// Early makes the server answer before it reads the body of the request.
	Early bool
	// End is called after an answer, and the connection is then closed. If it is nil, further requests are answered on the connection.
	End func(nc *net.TCPConn)
}

// Start starts a server, which runs until the end of the test, and returns its address.
func Start(t testing.TB, o Options) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go o.serve(nc.(*net.TCPConn))
		}
	}()
	return ln.Addr().String()
}

func (o Options) serve(nc *net.TCPConn) {
	defer nc.Close()
	reader := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !o.Early {
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
		}
		if _, err := io.WriteString(nc, strings.ReplaceAll(o.Answer, "%s", req.Header.Get(o.RequestID))); err != nil {
			return
		}
		if o.End != nil {
			o.End(nc)
			return
		}
	}
}
