package peer

import (
	"context"
	"crypto/tls"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/listen"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/telemetry"
)

// Roles of processes, which a Client sends in its Hello.
const (
	RoleAssign = "assign"
	RoleEntry  = "entry"
)

const (
	// keepAliveInterval is the interval of session pings, which detect a connection
	// that is no longer answered.
	keepAliveInterval = time.Second
	// writeTimeout is the time after which a session is closed if its connection
	// accepts no bytes.
	writeTimeout = 2 * time.Second
	helloTimeout = 2 * time.Second
	dialTimeout  = 500 * time.Millisecond
)

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = writeTimeout
	c.StreamCloseTimeout = writeTimeout
	c.LogOutput = io.Discard
	return c
}

// Handler serves one accepted stream. The server closes the stream when it returns.
type Handler func(ctx context.Context, s *Stream)

// ServerOptions configures a Server.
type ServerOptions struct {
	// Address is the host:port to listen on.
	Address string
	// TLS is the configuration by which both sides authenticate each other, see
	// LoadTLS; nil means plain TCP.
	TLS *tls.Config
	// Handler serves each stream. If it panics, only its stream ends.
	Handler Handler
	// Logger logs panics of Handler. Nil logs nothing.
	Logger *slog.Logger
}

// Server accepts sessions from other processes.
type Server struct {
	options  ServerOptions
	listener net.Listener
	wg       sync.WaitGroup
}

// Listen returns a Server that listens on o.Address. Run accepts the sessions.
func Listen(o ServerOptions) (*Server, error) {
	l, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	return newServer(l, o), nil
}

// newServer returns a Server that accepts from the listener.
func newServer(l net.Listener, o ServerOptions) *Server {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	l = listen.New(l, listen.Options{Name: "peers", Logger: o.Logger})
	if o.TLS != nil {
		l = tls.NewListener(l, o.TLS)
	}
	return &Server{options: o, listener: l}
}

// Addr returns the listener's address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Run serves sessions until the context ends, then closes them all and returns nil. It goes on through a lack
// of descriptors.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.listener.Close() })
	defer stop()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			s.wg.Wait()
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept peer connection")
		}
		s.wg.Go(func() { s.serveSession(ctx, conn) })
	}
}

func (s *Server) serveSession(ctx context.Context, conn net.Conn) {
	session, err := yamux.Server(conn, sessionConfig())
	if err != nil {
		conn.Close()
		return
	}
	defer session.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { session.Close() })()
	for {
		raw, err := session.AcceptStream()
		if err != nil {
			return
		}
		s.wg.Go(func() { s.serveStream(ctx, raw) })
	}
}

func (s *Server) serveStream(ctx context.Context, conn net.Conn) {
	stream := newStream(conn)
	defer stream.Close()
	if err := stream.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return
	}
	first, err := stream.Recv()
	if err != nil || first.GetHello() == nil {
		return
	}
	if err := stream.SetReadDeadline(time.Time{}); err != nil {
		return
	}
	stream.RemoteHello = first.GetHello()
	defer telemetry.Recover(s.options.Logger, "stream of a peer", []any{"vm", first.GetHello().GetVm(), "remote", conn.RemoteAddr().String()})
	s.options.Handler(ctx, stream)
}

// ClientOptions configures a Client.
type ClientOptions struct {
	// VM and Role identify this process in the Hello.
	VM, Role string
	// TLS is the configuration by which both sides authenticate each other, see
	// LoadTLS; nil means plain TCP.
	TLS *tls.Config
	// Dial opens connections, to which TLS is not applied; nil means TCP with a
	// timeout of 500 ms.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Client keeps one session to each address that it calls.
type Client struct {
	options  ClientOptions
	mu       sync.Mutex
	sessions map[string]*clientSession
}

type clientSession struct {
	mu      sync.Mutex
	session *yamux.Session
}

// NewClient returns a client without sessions.
func NewClient(o ClientOptions) *Client {
	return &Client{options: o, sessions: make(map[string]*clientSession)}
}

// Open opens a stream to the address and sends the Hello. It opens a session
// first unless one is open.
func (c *Client) Open(ctx context.Context, address string) (*Stream, error) {
	session, err := c.session(ctx, address)
	if err != nil {
		return nil, err
	}
	raw, err := session.OpenStream()
	if err != nil {
		session.Close()
		return nil, errors.Wrapf(err, "open stream to peer %s", address)
	}
	s := newStream(raw)
	hello := &pb.Hello{Vm: c.options.VM, Role: c.options.Role, ProtocolVersion: ProtocolVersion}
	if err := s.Send(&pb.Envelope{Body: &pb.Envelope_Hello{Hello: hello}}); err != nil {
		s.Close()
		session.Close()
		return nil, err
	}
	return s, nil
}

// Call sends one message on a new stream and returns the answer. It ends with an
// error when the context does.
func (c *Client) Call(ctx context.Context, address string, m *pb.Envelope) (*pb.Envelope, error) {
	s, err := c.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	defer context.AfterFunc(ctx, func() { s.Close() })()
	if deadline, ok := ctx.Deadline(); ok {
		if err := s.SetReadDeadline(deadline); err != nil {
			return nil, errors.Wrap(err, "set deadline")
		}
	}
	if err := s.Send(m); err != nil {
		return nil, err
	}
	return s.Recv()
}

// Close closes all sessions.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.sessions {
		s.close()
	}
	c.sessions = make(map[string]*clientSession)
}

// CloseSession closes the session to the address, so that the next call opens a
// new connection. It is used when nothing more is received on an open session.
func (c *Client) CloseSession(address string) {
	c.mu.Lock()
	s := c.sessions[address]
	delete(c.sessions, address)
	c.mu.Unlock()
	if s != nil {
		s.close()
	}
}

func (s *clientSession) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session != nil {
		s.session.Close()
	}
}

func (c *Client) session(ctx context.Context, address string) (*yamux.Session, error) {
	c.mu.Lock()
	cs := c.sessions[address]
	if cs == nil {
		cs = new(clientSession)
		c.sessions[address] = cs
	}
	c.mu.Unlock()
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.session != nil && !cs.session.IsClosed() {
		return cs.session, nil
	}
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial peer %s", address)
	}
	session, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		conn.Close()
		return nil, errors.Wrapf(err, "open session to peer %s", address)
	}
	cs.session = session
	return session, nil
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	if c.options.Dial != nil {
		return c.options.Dial(ctx, address)
	}
	d := net.Dialer{Timeout: dialTimeout}
	if c.options.TLS != nil {
		return (&tls.Dialer{NetDialer: &d, Config: c.options.TLS}).DialContext(ctx, "tcp", address)
	}
	return d.DialContext(ctx, "tcp", address)
}
