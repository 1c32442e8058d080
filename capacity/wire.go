package capacity

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/basiltally/basiltally/ownership"
	standin "github.com/basiltally/basiltally/standin/target"
	"github.com/basiltally/basiltally/target"
)

// SweepRenewals measures renewals over loopback, both ends in this process.
const SweepRenewals = "renewals-wire"

// Series of SweepRenewals.
const (
	WireCPU   = "client and target CPU"
	WireBytes = "bytes both ways"
)

const shutdownTimeout = 2 * time.Second

// countingListener counts the bytes of the connections it accepts.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: &l.bytes}, nil
}

// countingConn counts bytes of both directions, without those of TCP and IP.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func listenLoopback() (*countingListener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &countingListener{Listener: ln}, nil
}

func measureRenewals(s *Sweep, renewals int, _ time.Duration) error {
	ln, err := listenLoopback()
	if err != nil {
		return err
	}
	server := standin.New(standin.Options{ID: "sheets-00001", Incarnation: 1 << 62})
	go func() { _ = server.Serve(ln) }()
	client := target.NewClient(target.ClientOptions{Timeout: time.Minute})
	defer func() {
		client.Close()
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	}()
	echo, err := renewOnce(client, ln.Addr().String(), target.ClockReading{})
	if err != nil {
		return err
	}
	startCPU, startBytes := cpuTime(), ln.bytes.Load()
	for range renewals {
		if echo, err = renewOnce(client, ln.Addr().String(), echo); err != nil {
			return err
		}
	}
	x := float64(renewals)
	s.add(WireCPU, "ns", x, float64(cpuTime()-startCPU))
	s.add(WireBytes, "B", x, float64(ln.bytes.Load()-startBytes))
	return nil
}

// renewOnce sends a renewal without changes, as in a steady state.
func renewOnce(client *target.Client, address string, echo target.ClockReading) (target.ClockReading, error) {
	token := ownership.Token{Term: 100, Seq: 5<<32 + 1000}
	reply, err := client.Renew(context.Background(), address, target.RenewRequest{
		Group: "group-0001", AssignerToken: token, Echo: echo, Lease: time.Second, BaseVersion: token, Version: token,
	})
	return reply.Clock, err
}
