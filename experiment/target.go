// Package experiment measures the request path under load and faults. The
// pipelines of several entries run in one process against simulated targets, in
// virtual time, so that the results do not depend on the machine's load.
package experiment

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/target"
)

const (
	// connectCost is the time for which a target is busy with a new connection.
	connectCost = time.Millisecond
	// maxQueued is the number of requests that wait at a target; it refuses more.
	maxQueued = 64
	// A bulk body consists of bulkChunks chunks of bulkChunk bytes, with bulkPause
	// after each chunk.
	bulkChunk  = 8 << 10
	bulkChunks = 20
	bulkPause  = 100 * time.Millisecond
)

// simulatedTarget runs requests in a limited number of slots and counts them.
type simulatedTarget struct {
	ownership.Target
	service time.Duration
	slots   chan struct{}

	mu          sync.Mutex
	down        bool
	queued      int
	runs        int
	runsByKey   map[string]int
	conns       map[net.Conn]struct{}
	connectSlot chan struct{}
}

func newSimulatedTarget(t ownership.Target, service time.Duration) *simulatedTarget {
	return &simulatedTarget{
		Target:      t,
		service:     service,
		slots:       make(chan struct{}, t.RequestSlots),
		runsByKey:   map[string]int{},
		conns:       map[net.Conn]struct{}{},
		connectSlot: make(chan struct{}, 1),
	}
}

// dial opens a connection from an entry with the given one-way network delay. It
// fails if the target is down or has reached its limit of connections.
func (m *simulatedTarget) dial(ctx context.Context, delay time.Duration) (net.Conn, error) {
	time.Sleep(2 * delay)
	m.connectSlot <- struct{}{}
	time.Sleep(connectCost)
	<-m.connectSlot
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down || len(m.conns) >= m.Connections {
		return nil, errors.Errorf("target %s is down or has no free connection", m.ID)
	}
	client, server := net.Pipe()
	m.conns[server] = struct{}{}
	go m.serve(server, delay)
	return client, ctx.Err()
}

// kill closes all connections and refuses new ones until restart is called.
func (m *simulatedTarget) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = true
	for nc := range m.conns {
		nc.Close()
	}
}

func (m *simulatedTarget) restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = false
}

// serve answers the requests of one connection. A separate goroutine reads from
// it and detects that the entry has closed it, which cancels the running request.
func (m *simulatedTarget) serve(nc net.Conn, delay time.Duration) {
	requests := make(chan *fasthttp.Request)
	closed := make(chan struct{})
	go readRequests(nc, requests, closed)
	defer m.closeConn(nc)
	for {
		select {
		case r := <-requests:
			m.answer(nc, r, delay, closed)
		case <-closed:
			return
		}
	}
}

func readRequests(nc net.Conn, requests chan<- *fasthttp.Request, closed chan struct{}) {
	defer close(closed)
	br := bufio.NewReader(nc)
	for {
		r := &fasthttp.Request{}
		if err := r.Read(br); err != nil {
			return
		}
		requests <- r
	}
}

func (m *simulatedTarget) closeConn(nc net.Conn) {
	nc.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, nc)
}

func (m *simulatedTarget) answer(nc net.Conn, r *fasthttp.Request, delay time.Duration, closed <-chan struct{}) {
	time.Sleep(delay)
	id := string(r.Header.Peek(target.HeaderRequestID))
	if !m.acquire(closed) {
		time.Sleep(delay)
		m.write(nc, id, target.RefusedShed, nil)
		return
	}
	release := sync.OnceFunc(func() { <-m.slots })
	defer release()
	m.countRun(string(r.Header.Peek(target.HeaderIdempotencyKey)))
	if strings.HasPrefix(string(r.RequestURI()), "/bulk") {
		m.sendBulk(nc, id, closed)
		return
	}
	if !sleep(m.service, closed) {
		return
	}
	release()
	time.Sleep(delay)
	m.write(nc, id, "", []byte("answer"))
}

// acquire waits for a slot. It returns false if the queue is full or the entry has
// closed the connection.
func (m *simulatedTarget) acquire(closed <-chan struct{}) bool {
	m.mu.Lock()
	full := m.queued >= maxQueued
	m.queued++
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		m.queued--
		m.mu.Unlock()
	}()
	if full {
		return false
	}
	select {
	case m.slots <- struct{}{}:
		return true
	case <-closed:
		return false
	}
}

func (m *simulatedTarget) countRun(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runs++
	if key != "" {
		m.runsByKey[key]++
	}
}

func (m *simulatedTarget) write(nc io.Writer, id, refusal string, body []byte) {
	var resp fasthttp.Response
	resp.Header.Set(target.HeaderRequestID, id)
	if refusal != "" {
		resp.SetStatusCode(fasthttp.StatusServiceUnavailable)
		resp.Header.Set(target.HeaderResult, refusal)
	}
	resp.SetBody(body)
	w := bufio.NewWriter(nc)
	_ = resp.Write(w)
	_ = w.Flush()
}

func (m *simulatedTarget) sendBulk(nc net.Conn, id string, closed <-chan struct{}) {
	var h fasthttp.ResponseHeader
	h.Set(target.HeaderRequestID, id)
	h.SetContentLength(bulkChunk * bulkChunks)
	if _, err := nc.Write(h.Header()); err != nil {
		return
	}
	chunk := make([]byte, bulkChunk)
	for range bulkChunks {
		if _, err := nc.Write(chunk); err != nil || !sleep(bulkPause, closed) {
			return
		}
	}
}

// sleep waits for the duration. It returns false if the entry closes the connection
// before that.
func sleep(d time.Duration, closed <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-closed:
		return false
	}
}
