package frontend

import (
	"context"
	"io"
	"testing"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/pipeline"
)

// TestRestartsOnSameAddress guards against a frontend that cannot listen on its address
// after a restart: it closed the connections itself, so the kernel still holds them in
// TIME_WAIT.
func TestRestartsOnSameAddress(t *testing.T) {
	is := is.New(t)
	handler := pipeline.HandlerFunc(func(*pipeline.Request) error { return nil })
	first := start(t, Options{}, handler)
	nc := first.dial(t)
	_, err := nc.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"))
	is.NoErr(err)
	_, err = io.ReadAll(nc) // the frontend closes first
	is.NoErr(err)
	first.stop()
	is.NoErr(<-first.done)
	first.done <- nil

	second := New(Options{Address: first.address, Handler: handler, DrainLinger: 1})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- second.Run(ctx) }()
	select {
	case <-second.Ready():
	case err := <-done:
		t.Fatal(err)
	}
	cancel()
	is.NoErr(<-done)
}
