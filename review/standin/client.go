package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// attemptNumber numbers the client attempts.
var attemptNumber atomic.Int64

// getRequest returns a request with an id of its own.
func getRequest(path string, key int, connection string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %016x\r\nRequest-Deadline-Ms: 1500\r\nShard-Key: %d\r\nConnection: %s\r\n\r\n",
		path, host, attemptNumber.Add(1), key, connection)
}

func postRequest(path string) string {
	const body = `{"job":"cup"}`
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %016x\r\nRequest-Deadline-Ms: 2000\r\nContent-Length: %d\r\n\r\n%s",
		path, host, attemptNumber.Add(1), len(body), body)
}

// exchange sends a request on a connection and reads the answer.
func exchange(nc net.Conn, r *bufio.Reader, request string, timeout time.Duration) (int, error) {
	if err := nc.SetDeadline(time.Now().Add(timeout)); err != nil {
		return 0, err
	}
	if _, err := io.WriteString(nc, request); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	if resp.Close {
		return resp.StatusCode, io.EOF
	}
	return resp.StatusCode, nil
}

// balancer is the platform's entry: it forwards new connections to machines in rotation.
type balancer struct {
	machines []*machine

	mu sync.Mutex
	// misses has the number of readiness questions in a row without a 200.
	misses []int
	// neverSince is since when a machine has not answered 200.
	neverSince []time.Time
}

func newBalancer(machines []*machine) *balancer {
	b := &balancer{machines: machines, misses: make([]int, len(machines)), neverSince: make([]time.Time, len(machines))}
	for i := range b.neverSince {
		b.neverSince[i] = time.Now()
	}
	return b
}

// run asks each machine for its readiness once a second.
func (b *balancer) run(ctx context.Context) {
	for ctx.Err() == nil {
		var asking sync.WaitGroup
		for i, m := range b.machines {
			asking.Go(func() {
				ready := m.isReady()
				b.mu.Lock()
				defer b.mu.Unlock()
				if ready {
					b.misses[i], b.neverSince[i] = 0, time.Now()
				} else {
					b.misses[i]++
				}
			})
		}
		time.Sleep(time.Second)
		asking.Wait()
	}
}

// notReadyFor returns for how long a machine has not answered that it is ready.
func (b *balancer) notReadyFor(i int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Since(b.neverSince[i])
}

// pick returns the front address of a machine in rotation; if fewer than half are in rotation, of any.
// The machines of the deployment are taken as one zone.
func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*machine
	for i, m := range b.machines {
		if b.misses[i] < 2 {
			in = append(in, m)
		}
	}
	if len(in)*2 < len(b.machines) {
		in = b.machines
	}
	return in[rand.IntN(len(in))].front
}

// counts counts what the clients were answered, by status; 0 counts what had no answer.
type counts struct {
	mu       sync.Mutex
	byStatus map[int]int
	open     atomic.Int64
}

func (c *counts) add(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byStatus[status]++
}

func (c *counts) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.byStatus)
}

// clientConnection is one connection of a client: it stays open for some requests, with pauses in
// between that are shorter than four fifths of idle_timeout, and is then opened anew.
type clientConnection struct {
	balancer *balancer
	counts   *counts
	pause    time.Duration
	requests int
}

func (c *clientConnection) run(ctx context.Context) {
	sleep(ctx, rand.N(c.pause))
	for ctx.Err() == nil {
		var d net.Dialer
		dialing, cancel := context.WithTimeout(ctx, connectTimeout)
		nc, err := d.DialContext(dialing, "tcp", c.balancer.pick())
		cancel()
		if err != nil {
			c.counts.add(0)
			sleep(ctx, 50*time.Millisecond+rand.N(100*time.Millisecond))
			continue
		}
		c.counts.open.Add(1)
		c.use(ctx, nc)
		c.counts.open.Add(-1)
		nc.Close()
	}
}

// use sends requests on the connection until it ends.
func (c *clientConnection) use(ctx context.Context, nc net.Conn) {
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	r := bufio.NewReader(nc)
	for range c.requests {
		status, err := exchange(nc, r, c.request(), 1500*time.Millisecond)
		c.counts.add(status)
		if err != nil {
			return
		}
		// The pause also notices that the machine has closed the connection.
		if nc.SetReadDeadline(time.Now().Add(c.pause/2+rand.N(c.pause))) != nil {
			return
		}
		if _, err := r.Peek(1); !isTimeout(err) {
			return
		}
	}
}

// request returns a request by the mix of the site file: 4.6 stav, 2.4 zakazka, 0.79 archiv.
func (c *clientConnection) request() string {
	switch n := rand.IntN(779); {
	case n < 460:
		return getRequest("/stav/"+strconv.Itoa(n), rand.IntN(1<<16), "keep-alive")
	case n < 700:
		return postRequest("/zakazka/" + strconv.Itoa(n))
	default:
		return getRequest("/archiv/"+strconv.Itoa(n), 0, "keep-alive")
	}
}

func isTimeout(err error) bool {
	t, ok := err.(net.Error)
	return ok && t.Timeout()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
