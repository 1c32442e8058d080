package soak

import (
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// linkFault is what a proxy does to the bytes that pass through it.
type linkFault int

const (
	linkHealthy linkFault = iota
	// linkDelayed delays each piece that is read by up to maxLinkDelay.
	linkDelayed
	// linkDropRequests drops what goes to the server.
	linkDropRequests
	// linkDropAnswers drops what comes back from the server.
	linkDropAnswers
	// linkSilent drops everything on the connections that are open when it is set, as long
	// as they last. New connections work.
	linkSilent
	// linkFaultCount is the number of link faults.
	linkFaultCount
)

var linkFaultNames = [linkFaultCount]string{"passes", "delayed", "requests dropped", "answers dropped", "silent"}

// maxLinkDelay bounds the delay of linkDelayed.
const maxLinkDelay = 300 * time.Millisecond

// proxy is a TCP proxy on a loopback address in front of a server.
type proxy struct {
	// passResets makes a reset by the server reach the client as a reset.
	passResets bool

	mu sync.Mutex
	ln net.Listener
	// server is the address of the server.
	server string
	fault  linkFault
	conns  map[*proxyConn]struct{}
}

// proxyConn is a connection through the proxy.
type proxyConn struct {
	client, server net.Conn
	// silent is set once all bytes are dropped.
	silent bool
}

func newProxy(server string) (*proxy, error) { return newProxyAt("127.0.0.1:0", server, false) }

// newProxyAt returns a proxy that listens on the address.
func newProxyAt(address, server string, passResets bool) (*proxy, error) {
	p := &proxy{server: server, passResets: passResets, conns: map[*proxyConn]struct{}{}}
	return p, p.listen(address)
}

// listen makes the proxy accept connections.
func (p *proxy) listen(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "proxy: listen")
	}
	p.mu.Lock()
	p.ln = ln
	p.mu.Unlock()
	go p.accept(ln)
	return nil
}

func (p *proxy) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ln.Addr().String()
}

func (p *proxy) accept(ln net.Listener) {
	for {
		client, err := ln.Accept()
		if err != nil {
			return // The proxy was closed.
		}
		p.mu.Lock()
		address := p.server
		p.mu.Unlock()
		server, err := net.DialTimeout("tcp", address, connectTimeout)
		if err != nil {
			client.Close()
			continue
		}
		c := &proxyConn{client: client, server: server}
		p.mu.Lock()
		p.conns[c] = struct{}{}
		p.mu.Unlock()
		go p.forward(c, client, server, linkDropRequests)
		go p.forward(c, server, client, linkDropAnswers)
	}
}

// forward copies one direction of a connection until it ends. It drops the bytes while the
// fault in force is dropFault.
func (p *proxy) forward(c *proxyConn, from, to net.Conn, dropFault linkFault) {
	defer p.closeConn(c)
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && p.passResets && errors.Is(err, syscall.ECONNRESET) {
				_ = tcp.SetLinger(0) // An error means that the connection has already ended.
			}
			return
		}
		fault, silent := p.state(c)
		if fault == linkDelayed {
			time.Sleep(rand.N(maxLinkDelay))
		}
		if silent || fault == dropFault {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// state returns the fault in force, and whether the connection is silent.
func (p *proxy) state(c *proxyConn) (linkFault, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, c.silent
}

func (p *proxy) closeConn(c *proxyConn) {
	c.client.Close()
	c.server.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// setFault replaces the fault in force; linkHealthy ends it.
func (p *proxy) setFault(f linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f == linkSilent {
		for c := range p.conns {
			c.silent = true
		}
		f = linkHealthy
	}
	p.fault = f
}

// resetConns resets all open connections.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		for _, nc := range []net.Conn{c.client, c.server} {
			if tcp, ok := nc.(*net.TCPConn); ok {
				// An error means that the connection has already ended.
				_ = tcp.SetLinger(0)
			}
			nc.Close()
		}
	}
}

// stopListening makes the proxy refuse connections.
func (p *proxy) stopListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ln.Close()
}

func (p *proxy) close() {
	p.stopListening()
	p.resetConns()
}
