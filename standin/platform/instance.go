package platform

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// CrashSign is how the crash of an Instance shows to those who are connected to it.
type CrashSign int

const (
	// CrashCloses closes all connections and the address.
	CrashCloses CrashSign = iota
	// CrashResets resets all connections and closes the address.
	CrashResets
	// CrashClosesLate closes the connection of the crashing request and, lateCloseTime later, the others and the
	// address.
	CrashClosesLate
	// CrashFallsSilent leaves all connections and the address open without any answer.
	CrashFallsSilent
)

// lateCloseTime is how much later CrashClosesLate ends the other connections.
const lateCloseTime = 40 * time.Millisecond

// InstanceOptions configures an Instance.
type InstanceOptions struct {
	// Target is what the instance runs. Its ID is that of the first life.
	Target TargetOptions
	Store  *Store
	// DataCentre is where the instance is.
	DataCentre string
	// Crashes reports whether the instance crashes as the request begins to run.
	Crashes func(*http.Request) bool
	// Sign is how a crash shows.
	Sign CrashSign
	// RestartAfter is the time from a crash to the next life.
	RestartAfter time.Duration
	// NewID gives each life an id of its own, and NewAddress an address of its own.
	NewID, NewAddress bool
	// Successor is the service that gets the address of a crashed instance; empty means the same.
	Successor string
	// ExpireAfter is the time from a crash until the entry of the crashed life is removed, if the next one has
	// another id.
	ExpireAfter time.Duration
	// EntryDelay is the time from the start of a life to its entry.
	EntryDelay time.Duration
}

// Instance runs a Target that a request can crash, life after life, each with an entry in the store.
type Instance struct {
	opts InstanceOptions

	mu      sync.Mutex
	lives   int
	current *life
	closed  bool
}

// life is one run of an Instance's process.
type life struct {
	id, address string
	target      *Target
	listener    net.Listener
	server      *http.Server

	mu      sync.Mutex
	conns   map[net.Conn]struct{}
	crashed bool
}

// connKey is the context key of a request's connection.
type connKey struct{}

// StartInstance starts an instance on a free loopback address.
func StartInstance(opts InstanceOptions) (*Instance, error) {
	i := &Instance{opts: opts}
	return i, i.start("127.0.0.1:0", opts.Target.Service)
}

// ID returns the id of the present life.
func (i *Instance) ID() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.current.id
}

// Close ends the instance for good.
func (i *Instance) Close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
	i.current.server.Close()
}

// start begins a life at the address.
func (i *Instance) start(address, service string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return ln.Close()
	}
	i.lives++
	o := i.opts.Target
	o.Service = service
	if i.opts.NewID && i.lives > 1 {
		o.ID = fmt.Sprintf("%s-%d", o.ID, i.lives)
	}
	l := &life{id: o.ID, address: ln.Addr().String(), target: NewTarget(o), listener: ln, conns: map[net.Conn]struct{}{}}
	l.server = &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { i.serve(l, w, r) }),
		ReadHeaderTimeout: time.Minute, ConnState: l.trackConn,
		ConnContext: ConnContext,
	}
	i.current = l
	go func() { _ = l.server.Serve(ln) }() // It returns when it is closed.
	born := time.Now().UnixMilli()
	time.AfterFunc(i.opts.EntryDelay, func() {
		i.opts.Store.Put("servers", l.id, l.target.Entry(l.address, i.opts.DataCentre, "ready", born))
	})
	return nil
}

func (l *life) trackConn(c net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch s {
	case http.StateNew:
		l.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, c)
	}
}

func (i *Instance) serve(l *life, w http.ResponseWriter, r *http.Request) {
	runs := r.Header.Get("Target-Instance") == l.id && r.URL.Path != "/grant" && r.URL.Path != "/release"
	if !runs || !i.opts.Crashes(r) {
		l.target.ServeHTTP(w, r)
		return
	}
	i.crash(l)
	if i.opts.Sign == CrashFallsSilent {
		l.target.ServeHTTP(w, r) // It hangs.
		return
	}
	if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
		c.Close()
	}
	panic(http.ErrAbortHandler)
}

// end closes the address and all connections of the life, with a reset if that is asked for.
func (l *life) end(reset bool) {
	l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if tc, ok := c.(*net.TCPConn); ok && reset {
			_ = tc.SetLinger(0) // It fails only if the connection has ended.
		}
		c.Close()
	}
}

// crash ends the life, unless it has crashed before, and starts the next one.
func (i *Instance) crash(l *life) {
	l.mu.Lock()
	again := l.crashed
	l.crashed = true
	l.mu.Unlock()
	if again {
		return
	}
	l.target.SetHang(true)
	wait := i.opts.RestartAfter
	switch i.opts.Sign {
	case CrashCloses, CrashResets:
		l.end(i.opts.Sign == CrashResets)
	case CrashClosesLate:
		time.AfterFunc(lateCloseTime, func() { l.end(false) })
		wait = max(wait, 2*lateCloseTime)
	}
	if i.opts.NewID {
		time.AfterFunc(i.opts.ExpireAfter, func() { i.opts.Store.Delete("servers", l.id) })
	}
	address, service := l.address, i.opts.Target.Service
	if i.opts.NewAddress {
		address = "127.0.0.1:0"
	}
	if i.opts.Successor != "" {
		service = i.opts.Successor
	}
	time.AfterFunc(wait, func() {
		for range 100 { // The address may be taken for a moment after it was closed.
			if i.start(address, service) == nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
}
