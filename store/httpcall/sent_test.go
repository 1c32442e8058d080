package httpcall

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/store"
)

// Guards against a poll that counts as sent while its connection is still being opened.
func TestPollCountsAsSentOnceItIsWritten(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	client := NewPollers(Options{Address: server.Listener.Addr().String(), Timeout: 10 * time.Second}).For("a/")
	for range 2 { // The second poll uses the same connection.
		sent, done := make(chan struct{}, 2), make(chan error, 1)
		ctx := store.WithOnSent(t.Context(), func() { sent <- struct{}{} })
		go func() {
			_, err := client.Read(ctx, Call{Method: http.MethodGet, Path: "/x"})
			done <- err
		}()
		<-sent // Before the answer.
		release <- struct{}{}
		is.NoErr(<-done)
		is.Equal(len(sent), 0)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(ln.Close())
	refused := NewPollers(Options{Address: ln.Addr().String(), Timeout: time.Second}).For("a/")
	_, err = refused.Read(store.WithOnSent(t.Context(), func() { t.Error("a poll without a connection counts as sent") }), Call{Method: http.MethodGet, Path: "/x"})
	is.True(err != nil)
}

// Guards against a call without an answer as a sign that what was sent before has arrived.
func TestOnlyAnswersAreReported(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/silent" {
			<-r.Context().Done()
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	client := New(Options{Address: server.Listener.Addr().String(), Timeout: 200 * time.Millisecond, MaxConnections: 2})
	began, answered := 0, 0
	client.OnSending(func() func() {
		began++
		return func() { answered++ }
	})
	_, err := client.Read(context.Background(), Call{Method: http.MethodGet, Path: "/silent"})
	is.True(err != nil)
	is.Equal([]int{began, answered}, []int{1, 0})
	_, err = client.Read(context.Background(), Call{Method: http.MethodGet, Path: "/refused"})
	is.True(err != nil)
	is.Equal([]int{began, answered}, []int{2, 1})
}
