package main

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/standin"
	"github.com/basiltally/basiltally/standin/faultstore"
	"github.com/basiltally/basiltally/standin/objectapi"
	"github.com/basiltally/basiltally/standin/target"
	"github.com/basiltally/basiltally/standin/vmlist"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/memstore"
)

// shutdownTimeout bounds the wait for requests in progress at shutdown.
const shutdownTimeout = 5 * time.Second

// server is one stand-in that serves on a listener.
type server interface {
	Serve(ln net.Listener) error
	Shutdown(ctx context.Context) error
}

// boundServer is a server with its open listener.
type boundServer struct {
	name   string
	ln     net.Listener
	server server
}

// run serves all stand-ins until the context is done or one of them fails.
func run(ctx context.Context, flags Flags, logger *slog.Logger) error {
	servers, err := listenAll(flags)
	if err != nil {
		closeAll(servers)
		return err
	}
	failed := make(chan error, len(servers))
	for _, s := range servers {
		go func() {
			err := s.server.Serve(s.ln)
			failed <- errors.Wrapf(err, "serve %s", s.name)
		}()
		logger.Info("listening", "standin", s.name, "address", s.ln.Addr().String())
	}
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	shutdownAll(servers)
	logger.Info("stopped")
	return err
}

// listenAll creates all servers and opens their listeners. On an error it returns the
// servers whose listeners are already open.
func listenAll(flags Flags) ([]boundServer, error) {
	specs, err := flags.targetSpecs()
	if err != nil {
		return nil, err
	}
	vms, err := flags.entryVMs()
	if err != nil {
		return nil, err
	}
	for _, spec := range specs {
		vms = append(vms, spec.vm)
	}
	slices.SortFunc(vms, func(a, b store.VM) int { return strings.Compare(a.ID, b.ID) })
	objects := faultstore.New(memstore.New(memstore.Options{}), vmlist.New(vms))
	objects.SetFaults(faultstore.Faults{
		WritesPerSecond: flags.WritesPerSecond,
		ReadsPerSecond:  flags.ReadsPerSecond,
	})
	servers, err := listen(nil, "object-api", flags.Store, objectapi.New(objects))
	for _, spec := range specs {
		if err != nil {
			break
		}
		servers, err = listen(servers, spec.vm.ID, spec.vm.Address, newTarget(flags, spec))
	}
	return servers, err
}

func newTarget(flags Flags, spec targetSpec) *target.Server {
	return target.New(target.Options{
		ID:           ownership.TargetID(spec.vm.ID),
		Pool:         spec.vm.Pool,
		Keyed:        spec.keyed,
		Slots:        flags.Slots,
		Queue:        flags.Queue,
		Work:         flags.Work,
		BulkPrefixes: flags.BulkPrefixes,
		BulkBytes:    flags.BulkBytes,
		Faults: target.Faults{
			IgnoreTokens:   spec.unchecked,
			MaxConnections: flags.MaxConnections,
			ConnectCost:    standin.Duration(flags.ConnectCost),
			ProbeCost:      standin.Duration(flags.ProbeCost),
		},
	})
}

func listen(servers []boundServer, name, address string, s server) ([]boundServer, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return servers, errors.Wrapf(err, "listen for %s", name)
	}
	return append(servers, boundServer{name: name, ln: ln, server: s}), nil
}

func closeAll(servers []boundServer) {
	for _, s := range servers {
		_ = s.ln.Close()
	}
}

func shutdownAll(servers []boundServer) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		_ = s.server.Shutdown(ctx)
	}
}
