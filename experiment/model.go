// Package experiment measures the request path under load and faults. The
// pipeline of several entries runs in one process against models of targets,
// in virtual time, so that the results do not depend on the machine's load.
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
	// modelQueue is the number of requests that wait at a target before it sheds.
	modelQueue = 64
	// packChunk and packChunks make the body of a long transfer, with packPause
	// after each chunk.
	packChunk  = 8 << 10
	packChunks = 20
	packPause  = 100 * time.Millisecond
)

// modelTarget runs requests in slots and counts them.
type modelTarget struct {
	ownership.Target
	service time.Duration
	slots   chan struct{}

	mu      sync.Mutex
	down    bool
	queued  int
	runs    int
	byKey   map[string]int
	conns   map[net.Conn]struct{}
	connect chan struct{}
}

func newModelTarget(t ownership.Target, service time.Duration) *modelTarget {
	return &modelTarget{
		Target:  t,
		service: service,
		slots:   make(chan struct{}, t.RequestSlots),
		byKey:   map[string]int{},
		conns:   map[net.Conn]struct{}{},
		connect: make(chan struct{}, 1),
	}
}

// dial opens a connection from an entry at a distance.
func (m *modelTarget) dial(ctx context.Context, distance time.Duration) (net.Conn, error) {
	time.Sleep(2 * distance)
	m.connect <- struct{}{}
	time.Sleep(connectCost)
	<-m.connect
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down || len(m.conns) >= m.Connections {
		return nil, errors.Errorf("target %s refuses the connection", m.ID)
	}
	client, server := net.Pipe()
	m.conns[server] = struct{}{}
	go m.serve(server, distance)
	return client, ctx.Err()
}

// kill breaks all connections and refuses new ones until revive.
func (m *modelTarget) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = true
	for nc := range m.conns {
		nc.Close()
	}
}

func (m *modelTarget) revive() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = false
}

// serve answers the requests of one connection. A reader of its own notices
// that the entry has closed it, which cancels the request.
func (m *modelTarget) serve(nc net.Conn, distance time.Duration) {
	requests := make(chan *fasthttp.Request)
	gone := make(chan struct{})
	go readRequests(nc, requests, gone)
	defer m.forget(nc)
	for {
		select {
		case r := <-requests:
			m.answer(nc, r, distance, gone)
		case <-gone:
			return
		}
	}
}

func readRequests(nc net.Conn, requests chan<- *fasthttp.Request, gone chan struct{}) {
	defer close(gone)
	br := bufio.NewReader(nc)
	for {
		r := &fasthttp.Request{}
		if err := r.Read(br); err != nil {
			return
		}
		requests <- r
	}
}

func (m *modelTarget) forget(nc net.Conn) {
	nc.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, nc)
}

func (m *modelTarget) answer(nc net.Conn, r *fasthttp.Request, distance time.Duration, gone <-chan struct{}) {
	time.Sleep(distance)
	id := string(r.Header.Peek(target.HeaderRequestID))
	if !m.acquire(gone) {
		time.Sleep(distance)
		m.write(nc, id, target.RefusedShed, nil)
		return
	}
	release := sync.OnceFunc(func() { <-m.slots })
	defer release()
	m.count(string(r.Header.Peek(target.HeaderIdempotencyKey)))
	if strings.HasPrefix(string(r.RequestURI()), "/bulk") {
		m.sendPack(nc, id, gone)
		return
	}
	if !sleep(m.service, gone) {
		return
	}
	release()
	time.Sleep(distance)
	m.write(nc, id, "", []byte("answer"))
}

// acquire takes a slot; it reports false if the queue is full.
func (m *modelTarget) acquire(gone <-chan struct{}) bool {
	m.mu.Lock()
	full := m.queued >= modelQueue
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
	case <-gone:
		return false
	}
}

func (m *modelTarget) count(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runs++
	if key != "" {
		m.byKey[key]++
	}
}

func (m *modelTarget) write(nc io.Writer, id, refusal string, body []byte) {
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

func (m *modelTarget) sendPack(nc net.Conn, id string, gone <-chan struct{}) {
	var h fasthttp.ResponseHeader
	h.Set(target.HeaderRequestID, id)
	h.SetContentLength(packChunk * packChunks)
	if _, err := nc.Write(h.Header()); err != nil {
		return
	}
	chunk := make([]byte, packChunk)
	for range packChunks {
		if _, err := nc.Write(chunk); err != nil || !sleep(packPause, gone) {
			return
		}
	}
}

// sleep waits for the duration; it reports false if the entry left before.
func sleep(d time.Duration, gone <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-gone:
		return false
	}
}
