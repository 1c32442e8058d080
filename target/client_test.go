package target_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/ownership"
	standin "github.com/basiltally/basiltally/standin/target"
	"github.com/basiltally/basiltally/target"
)

func TestClientReusesConnection(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := standin.New(standin.Options{Incarnation: 1, Faults: standin.Faults{MaxConnections: 1}})
	go func() { _ = server.Serve(ln) }()
	client := target.NewClient(target.ClientOptions{Timeout: 10 * time.Second})
	defer func() {
		client.Close()
		_ = server.Shutdown(context.Background())
	}()
	address := ln.Addr().String()
	token := ownership.Token{Term: 1, Seq: 1}
	reply, err := client.Renew(t.Context(), address, target.RenewRequest{Group: "g", AssignerToken: token})
	is.NoErr(err)
	reply, err = client.Renew(t.Context(), address, target.RenewRequest{
		Group: "g", AssignerToken: token, Echo: reply.Clock, Lease: time.Hour, Version: token, Full: true,
	})
	is.NoErr(err)
	is.Equal(reply.HeldVersion, token)
	is.True(reply.LeaseNanos > 0)
	health, err := client.Drain(t.Context(), address)
	is.NoErr(err)
	is.True(health.Draining)

	is.NoErr(server.Act(standin.Freeze))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = client.Renew(ctx, address, target.RenewRequest{Group: "g", AssignerToken: token})
	is.True(err != nil) // the call ends when its context does
	is.NoErr(server.Act(standin.Unfreeze))
}

// A renewal that waited for the only connection failed at once when that was closed: fasthttp dials for it without a timeout.
func TestRenewalThatWaitedForAConnectionIsSentOnANewOne(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := standin.New(standin.Options{Incarnation: 1})
	go func() { _ = server.Serve(ln) }()
	client := target.NewClient(target.ClientOptions{Timeout: 10 * time.Second})
	defer func() {
		client.Close()
		_ = server.Shutdown(context.Background())
	}()
	request := target.RenewRequest{Group: "g", AssignerToken: ownership.Token{Term: 1, Seq: 1}}
	_, err = client.Renew(t.Context(), ln.Addr().String(), request)
	is.NoErr(err)

	is.NoErr(server.Act(standin.Freeze))
	silent := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := client.Renew(ctx, ln.Addr().String(), request)
		silent <- err
	}()
	time.Sleep(100 * time.Millisecond)
	waiting := make(chan error, 1)
	go func() {
		_, err := client.Renew(t.Context(), ln.Addr().String(), request)
		waiting <- err
	}()
	is.True(<-silent != nil)
	is.NoErr(server.Act(standin.Unfreeze))
	is.NoErr(<-waiting)
}
