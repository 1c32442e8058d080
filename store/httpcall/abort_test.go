package httpcall

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startPolls starts a server that answers /now at once and other paths at the end of the test.
func startPolls(t *testing.T) (address string, waiting <-chan struct{}) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	began, ended := make(chan struct{}, 8), make(chan struct{})
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/now" {
			return
		}
		began <- struct{}{}
		select {
		case <-ended:
		case <-r.Context().Done():
		}
	})}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() {
		close(ended)
		server.Close()
	})
	return ln.Addr().String(), began
}

func openConnections(p *connPool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open)
}

// A poll that was answered at the moment at which its context ended left a closed connection to the next poll.
func TestPollAfterAnAbortUsesNoClosedConnection(t *testing.T) {
	is := is.New(t)
	address, _ := startPolls(t)
	client := NewPollers(Options{Address: address, Timeout: time.Second}).For("a")
	call := Call{Method: http.MethodGet, Path: "/now"}
	_, err := client.Read(t.Context(), call)
	is.NoErr(err)
	client.abort(client.pool())
	_, err = client.Read(t.Context(), call)
	is.NoErr(err)
}

func TestEndOfTheContextClosesThePollButNotALaterOne(t *testing.T) {
	is := is.New(t)
	address, waiting := startPolls(t)
	client := NewPollers(Options{Address: address, Timeout: time.Minute}).For("a")
	ctx, cancel := context.WithCancel(t.Context())
	aborted := client.pool()
	go func() {
		<-waiting
		cancel()
	}()
	_, err := client.Read(ctx, Call{Method: http.MethodGet, Path: "/poll"})
	is.True(err != nil)
	is.Equal(openConnections(aborted), 0)
	_, err = client.Read(t.Context(), Call{Method: http.MethodGet, Path: "/now"})
	is.NoErr(err)
	client.abort(aborted)
	is.True(client.pool() != aborted)
	is.Equal(openConnections(client.pool()), 1)
}

// A connection that was being dialled during an abort stayed open, with a poll on it that nobody waited for.
func TestConnectionDialledDuringAnAbortIsClosed(t *testing.T) {
	is := is.New(t)
	address, _ := startPolls(t)
	client := NewPollers(Options{Address: address, Timeout: time.Second}).For("a")
	pool := client.pool()
	client.abort(pool)
	_, err := pool.exchange(Call{Method: http.MethodGet, Path: "/now"}, time.Second)
	is.True(err != nil)
	is.Equal(openConnections(pool), 0)
}
