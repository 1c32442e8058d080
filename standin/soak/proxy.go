package soak

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// linkFault is what a proxy does to the bytes that pass it.
type linkFault int

const (
	linkHealthy linkFault = iota
	// linkDelayed holds each piece back for up to maxLinkDelay.
	linkDelayed
	// linkCutThere drops what goes to the server, linkCutBack what comes back.
	linkDropRequests
	linkDropAnswers
	// linkSilent lets the open connections go silent for good, while new ones work.
	linkSilent
	linkFaultCount
)

var linkFaultNames = [linkFaultCount]string{"passes", "delayed", "cut there", "cut back", "silent"}

const maxLinkDelay = 300 * time.Millisecond

// proxy stands on a loopback address before a server.
type proxy struct {
	ln     net.Listener
	server string

	mu    sync.Mutex
	fault linkFault
	conns map[*proxyConn]struct{}
}

// proxied is a connection through the proxy.
type proxyConn struct {
	client, server net.Conn
	// silent is set once nothing passes any more.
	silent bool
}

func newProxy(server string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &proxy{ln: ln, server: server, conns: map[*proxyConn]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.ln.Addr().String() }

func (p *proxy) accept() {
	for {
		client, err := p.ln.Accept()
		if err != nil {
			return // The proxy was closed.
		}
		server, err := net.Dial("tcp", p.server)
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

// pass copies one direction, which the cut drops.
func (p *proxy) forward(c *proxyConn, from, to net.Conn, cut linkFault) {
	defer p.closeConn(c)
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		fault, silent := p.state(c)
		if fault == linkDelayed {
			time.Sleep(rand.N(maxLinkDelay))
		}
		if silent || fault == cut {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

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

// set begins or ends a fault.
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

// reset resets all open connections.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		for _, nc := range []net.Conn{c.client, c.server} {
			if tcp, ok := nc.(*net.TCPConn); ok {
				// A failure means that the connection has ended.
				_ = tcp.SetLinger(0)
			}
			nc.Close()
		}
	}
}

func (p *proxy) close() {
	p.ln.Close()
	p.resetConns()
}
