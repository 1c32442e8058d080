package frontend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/pipeline"
)

// start runs a Frontend on a free loopback port and returns its base URL.
func start(t *testing.T, opts Options) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	opts.Address = ln.Addr().String()
	ln.Close()
	f := New(opts)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	select {
	case <-f.Ready():
	case err := <-done:
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return "http://" + opts.Address
}

func TestAnswersRequestsOnOneConnection(t *testing.T) {
	is := is.New(t)
	url := start(t, Options{DrainLinger: 1, Handler: pipeline.HandlerFunc(func(req *pipeline.Request) error {
		req.Answer.SetBodyString("path " + string(req.HTTP.Header.RequestURI()))
		return nil
	})})
	for i := range 3 {
		resp, err := http.Get(fmt.Sprintf("%s/%d", url, i))
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(body), fmt.Sprintf("path /%d", i))
		resp.Body.Close()
	}
}
