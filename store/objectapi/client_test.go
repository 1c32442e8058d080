package objectapi_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/standin/faultstore"
	standin "github.com/basiltally/basiltally/standin/objectapi"
	"github.com/basiltally/basiltally/standin/vmlist"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/memstore"
	"github.com/basiltally/basiltally/store/objectapi"
)

// shortTimeout is the timeout of calls that a fault leaves without an answer.
const shortTimeout = 50 * time.Millisecond

func start(t *testing.T) (*faultstore.Store, *objectapi.Client) {
	t.Helper()
	st := faultstore.New(memstore.New(memstore.Options{}), vmlist.New([]store.VM{{ID: "vm1"}}))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := standin.New(st)
	go func() { _ = server.Serve(ln) }()
	client := objectapi.New(objectapi.Options{Address: ln.Addr().String()})
	t.Cleanup(func() {
		client.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
	return st, client
}

func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	_, c := start(t)
	v1, err := c.Put(ctx, "groups/a b?&", []byte("one"), 0)
	is.NoErr(err)
	obj, err := c.Get(ctx, "groups/a b?&")
	is.NoErr(err)
	is.Equal(obj, store.Object{Key: "groups/a b?&", Value: []byte("one"), Version: v1})
	_, err = c.Put(ctx, "groups/a b?&", nil, 0)
	is.True(errors.Is(err, store.ErrConflict))
	list, revision, err := c.List(ctx, "groups/")
	is.NoErr(err)
	is.Equal(list, []store.Object{obj})
	is.Equal(revision, v1)
	is.NoErr(c.Delete(ctx, "groups/a b?&", v1))
	_, err = c.Get(ctx, "groups/a b?&")
	is.True(errors.Is(err, store.ErrNotFound))
	events, err := c.Watch(ctx, "groups/", v1)
	is.NoErr(err)
	is.True(events[0].Deleted)
	vms, err := c.ListVMs(ctx)
	is.NoErr(err)
	is.Equal(vms, []store.VM{{ID: "vm1"}})
}

func TestWriteErrors(t *testing.T) {
	tests := []struct {
		name   string
		faults faultstore.Faults
		want   error
		// written is set if the write took effect.
		written bool
	}{
		{"refused", faultstore.Faults{Refuse: true}, store.ErrUnavailable, false},
		{"answer lost", faultstore.Faults{LoseAnswers: 1}, store.ErrUnknown, true},
		{"request lost", faultstore.Faults{LoseRequests: 1}, store.ErrUnknown, false},
		{"no answer", faultstore.Faults{Hang: true}, store.ErrUnknown, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			st, c := start(t)
			st.SetFaults(tt.faults)
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout(tt.faults))
			defer cancel()
			_, err := c.Put(ctx, "a", []byte("x"), 0)
			is.True(errors.Is(err, tt.want))
			is.Equal(st.Calls().Put, 1) // A write is never repeated.
			_, err = st.Objects.Get(t.Context(), "a")
			is.Equal(err == nil, tt.written)
		})
	}
}

// callTimeout returns shortTimeout if the fault leaves the call without an answer, and a
// minute otherwise.
func callTimeout(f faultstore.Faults) time.Duration {
	if f.Hang {
		return shortTimeout
	}
	return time.Minute
}

func TestRateLimitRefusesWithoutEffect(t *testing.T) {
	is := is.New(t)
	st, c := start(t)
	st.SetFaults(faultstore.Faults{WritesPerSecond: 0.001})
	_, err := c.Put(t.Context(), "a", nil, 0)
	is.NoErr(err)
	_, err = c.Put(t.Context(), "b", nil, 0)
	is.True(errors.Is(err, store.ErrUnavailable))
	is.Equal(st.Objects.Revision(), store.Version(1))
	is.Equal(st.Calls().Limited, 1)
}

func TestConnectFailureIsUnavailable(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := ln.Addr().String()
	is.NoErr(ln.Close())
	c := objectapi.New(objectapi.Options{Address: address})
	_, err = c.Put(t.Context(), "a", nil, 0)
	is.True(errors.Is(err, store.ErrUnavailable))
	is.True(!errors.Is(err, store.ErrUnknown))
	_, err = c.Get(t.Context(), "a")
	is.True(errors.Is(err, store.ErrUnavailable))
}

func TestEndedContextSendsNothing(t *testing.T) {
	is := is.New(t)
	st, c := start(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := c.Put(ctx, "a", nil, 0)
	is.True(errors.Is(err, store.ErrUnavailable))
	is.Equal(st.Calls().Put, 0)
}

func TestCancelledWriteIsUnknown(t *testing.T) {
	is := is.New(t)
	st, c := start(t)
	st.SetFaults(faultstore.Faults{Hang: true})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for st.Calls().Put == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err := c.Put(ctx, "a", nil, 0)
	is.True(errors.Is(err, store.ErrUnknown))
}

func TestClosedConnectionIsNotRetriedForWrites(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	accepted := make(chan int, 16)
	go func() {
		for n := 1; ; n++ {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- n
			_, _ = conn.Read(make([]byte, 1024))
			_ = conn.Close()
		}
	}()
	c := objectapi.New(objectapi.Options{Address: ln.Addr().String()})
	_, err = c.Put(t.Context(), "a", []byte("x"), 0)
	is.True(errors.Is(err, store.ErrUnknown))
	is.Equal(len(accepted), 1)
}

func TestWatchTimeoutCompactionAndFailure(t *testing.T) {
	is := is.New(t)
	st, c := start(t)
	ctx, cancel := context.WithTimeout(t.Context(), shortTimeout)
	defer cancel()
	events, err := c.Watch(ctx, "a", 0)
	is.NoErr(err)
	is.Equal(len(events), 0)

	_, err = c.Put(t.Context(), "a", nil, 0)
	is.NoErr(err)
	st.Objects.Compact()
	_, err = c.Watch(t.Context(), "a", 0)
	is.True(errors.Is(err, store.ErrCompacted))

	go func() {
		for st.Calls().Waiting == 0 {
			time.Sleep(time.Millisecond)
		}
		st.SetFaults(faultstore.Faults{Refuse: true})
	}()
	_, err = c.Watch(t.Context(), "a", 1)
	is.True(errors.Is(err, store.ErrUnavailable))
}
