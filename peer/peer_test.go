package peer

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/pb"
)

func echoServer(t *testing.T, address string) (string, func()) {
	t.Helper()
	handler := func(_ context.Context, s *Stream) {
		for {
			m, err := s.Recv()
			if err != nil || s.Send(m) != nil {
				return
			}
		}
	}
	server, err := Listen(ServerOptions{Address: address, Handler: handler})
	is.New(t).NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	return server.Addr(), func() {
		cancel()
		is.New(t).NoErr(<-done)
	}
}

func TestCallAndReconnect(t *testing.T) {
	is := is.New(t)
	address, stop := echoServer(t, "127.0.0.1:0")
	c := NewClient(ClientOptions{VM: "vm1", Role: "test"})
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	probe := &pb.Envelope{Body: &pb.Envelope_ProbeRequest{ProbeRequest: &pb.ProbeRequest{Target: "t1"}}}
	got, err := c.Call(ctx, address, probe)
	is.NoErr(err)
	is.Equal(got.GetProbeRequest().GetTarget(), "t1")

	stop()
	_, err = c.Call(ctx, address, probe)
	is.True(err != nil) // the server is stopped

	_, stop = echoServer(t, address)
	defer stop()
	_, err = c.Call(ctx, address, probe)
	is.NoErr(err) // a new session replaces the broken one
}

// A message that makes the handler panic must end its stream only: the process, the session and other streams stay.
func TestPanicEndsItsStreamOnly(t *testing.T) {
	is := is.New(t)
	server, err := Listen(ServerOptions{Address: "127.0.0.1:0", Handler: func(_ context.Context, s *Stream) {
		m, err := s.Recv()
		if err != nil {
			return
		}
		if m.GetProbeRequest().GetTarget() == "bad" {
			panic("planted")
		}
		_ = s.Send(m) // The caller notices a failure.
	}})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	c := NewClient(ClientOptions{VM: "vm1", Role: "test"})
	defer c.Close()
	probe := func(target string) error {
		_, err := c.Call(ctx, server.Addr(), &pb.Envelope{Body: &pb.Envelope_ProbeRequest{ProbeRequest: &pb.ProbeRequest{Target: target}}})
		return err
	}
	is.NoErr(probe("good"))
	is.True(probe("bad") != nil)
	is.NoErr(probe("good"))
	cancel()
	is.NoErr(<-done)
}

// shortListener fails its first accepts for want of descriptors.
type shortListener struct {
	net.Listener
	failures int
}

func (l *shortListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// The server of peers ended at the first lack of descriptors, and with it the agent of the VM.
func TestServerGoesOnAfterAShortageOfDescriptors(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := newServer(&shortListener{Listener: l, failures: 3}, ServerOptions{Handler: func(_ context.Context, s *Stream) {
		if m, err := s.Recv(); err == nil {
			_ = s.Send(m)
		}
	}})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	c := NewClient(ClientOptions{VM: "vm1", Role: "test"})
	defer c.Close()
	_, err = c.Call(ctx, l.Addr().String(), &pb.Envelope{Body: &pb.Envelope_ProbeRequest{ProbeRequest: &pb.ProbeRequest{Target: "t1"}}})
	is.NoErr(err)
	cancel()
	is.NoErr(<-done)
}
