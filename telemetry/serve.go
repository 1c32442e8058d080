package telemetry

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"github.com/valyala/fasthttp/pprofhandler"

	"github.com/basiltally/basiltally/listen"
)

// Settings is the [telemetry] section of a process's settings.
type Settings struct {
	Listen string `ini:"listen" default:"127.0.0.1:9080" doc:"Address of the operators' HTTP server. It must not be reachable from callers' networks."`
	Pprof  bool   `ini:"pprof" default:"false" doc:"Serve profiles under /debug/pprof/."`
}

// Limits of the operators' HTTP server.
const (
	readTimeout     = 5 * time.Second
	writeTimeout    = 60 * time.Second
	idleTimeout     = 60 * time.Second
	shutdownTimeout = 2 * time.Second
	maxRequestBytes = 1 << 20
)

// pprofPrefix is the path prefix of the profiles.
const pprofPrefix = "/debug/pprof/"

// Options configures the operators' HTTP server.
type Options struct {
	// Settings contains the address and whether profiles are served.
	Settings Settings
	// Listener is used in place of Settings.Listen if it is set.
	Listener net.Listener
	// Gatherer collects the metrics for /metrics, which is not served if it is nil.
	Gatherer prometheus.Gatherer
	// Ready returns nil if the process may serve callers, else an error with the
	// reason. If Ready is nil, the process is always ready.
	Ready func() error
	// Handlers maps additional paths, which must match exactly, to their handlers.
	Handlers map[string]fasthttp.RequestHandler
	// Logger logs connections that cannot be accepted. Default slog.Default().
	Logger *slog.Logger
}

// Serve runs the operators' HTTP server until ctx ends, also through a lack of descriptors. It serves /healthz (the
// process runs), /readyz (the process may serve callers), /metrics, the paths of
// o.Handlers and, if o.Settings.Pprof is set, profiles.
func Serve(ctx context.Context, o Options) error {
	ln := o.Listener
	if ln == nil {
		var err error
		if ln, err = net.Listen("tcp", o.Settings.Listen); err != nil {
			return errors.Wrap(err, "listen for operators' HTTP server")
		}
	}
	srv := &fasthttp.Server{
		Name:                         "basiltally",
		Handler:                      o.handler(),
		ReadTimeout:                  readTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  idleTimeout,
		MaxRequestBodySize:           maxRequestBytes,
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true,
	}
	done := make(chan error, 1)
	go func() {
		done <- srv.Serve(listen.New(ln, listen.Options{Name: "operators and readiness", Logger: o.Logger}))
	}()
	select {
	case err := <-done:
		return errors.Wrap(err, "operators' HTTP server")
	case <-ctx.Done():
	}
	shutdown, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := srv.ShutdownWithContext(shutdown)
	return errors.Wrap(err, "shut down operators' HTTP server")
}

func (o Options) handler() fasthttp.RequestHandler {
	routes := map[string]fasthttp.RequestHandler{
		"/healthz": func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") },
		"/readyz":  o.readyz,
	}
	if o.Gatherer != nil {
		routes["/metrics"] = fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(o.Gatherer, promhttp.HandlerOpts{}))
	}
	for path, h := range o.Handlers {
		routes[path] = h
	}
	return func(ctx *fasthttp.RequestCtx) {
		path := string(ctx.Path())
		if h, ok := routes[path]; ok {
			h(ctx)
			return
		}
		if o.Settings.Pprof && len(path) >= len(pprofPrefix) && path[:len(pprofPrefix)] == pprofPrefix {
			pprofhandler.PprofHandler(ctx)
			return
		}
		ctx.Error("not found\n", fasthttp.StatusNotFound)
	}
}

func (o Options) readyz(ctx *fasthttp.RequestCtx) {
	if o.Ready != nil {
		if err := o.Ready(); err != nil {
			ctx.Error("not ready: "+err.Error()+"\n", fasthttp.StatusServiceUnavailable)
			return
		}
	}
	ctx.SetBodyString("ready\n")
}
