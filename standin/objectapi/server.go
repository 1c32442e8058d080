// Package objectapi is a stand-in for the platform's object API and VM list,
// served over HTTP. It is meant for tests and for a first run.
package objectapi

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/standin"
	"github.com/basiltally/basiltally/standin/faultstore"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/objectapi"
)

const (
	// maxWatch bounds the duration of a watch call, which is a long poll.
	maxWatch = time.Minute
	// maxConcurrency bounds the calls in progress, watches included.
	maxConcurrency = 64 << 10
)

// Admin is the body of a call to standin.FaultsPath. Absent fields change nothing.
type Admin struct {
	// Faults replaces the faults in force.
	Faults *faultstore.Faults `json:"faults,omitempty"`
	// Actions are performed in order.
	Actions []Action `json:"actions,omitempty"`
	// SetVMs changes or adds entries of the VM list.
	SetVMs []store.VM `json:"set_vms,omitempty"`
	// RemoveVMs removes the entries with these IDs from the VM list.
	RemoveVMs []string `json:"remove_vms,omitempty"`
}

// Action is a single operation on the store.
type Action string

// Actions on the store.
const (
	// Compact drops the history of events.
	Compact Action = "compact"
	// Snapshot saves the current objects.
	Snapshot Action = "snapshot"
	// Restore replaces the objects with those of the last Snapshot.
	Restore Action = "restore"
	// HoldVMs makes reads of the VM list return its current state until ReleaseVMs.
	HoldVMs Action = "hold-vms"
	// ReleaseVMs ends HoldVMs.
	ReleaseVMs Action = "release-vms"
)

// Server serves the object API.
type Server struct {
	store  *faultstore.Store
	http   *fasthttp.Server
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a Server that serves the store.
func New(st *faultstore.Store) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{store: st, ctx: ctx, cancel: cancel}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		Concurrency:           maxConcurrency,
		MaxRequestBodySize:    2 * store.MaxValueBytes,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	return s
}

// Serve answers calls on the listener until Shutdown.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(ln) }

// Shutdown ends waiting watches and stops the server.
func (s *Server) Shutdown(ctx context.Context) error {
	s.cancel()
	return s.http.ShutdownWithContext(ctx)
}

func (s *Server) handle(rc *fasthttp.RequestCtx) {
	switch string(rc.Path()) {
	case objectapi.ObjectPath:
		s.handleObject(rc)
	case objectapi.ListPath:
		s.handleList(rc)
	case objectapi.WatchPath:
		s.handleWatch(rc)
	case objectapi.VMsPath:
		s.handleVMs(rc)
	case standin.FaultsPath:
		s.handleAdmin(rc)
	case standin.CallsPath:
		writeJSON(rc, s.store.Calls())
	default:
		rc.Error("no such path", http.StatusNotFound)
	}
}

func (s *Server) handleObject(rc *fasthttp.RequestCtx) {
	key := string(rc.QueryArgs().Peek(objectapi.ArgKey))
	switch string(rc.Method()) {
	case http.MethodGet:
		obj, err := s.store.Get(s.ctx, key)
		s.answer(rc, obj.Version, obj.Value, err)
	case http.MethodPut:
		expected, err := versionArg(rc, objectapi.ArgExpected)
		if err != nil {
			rc.Error(err.Error(), http.StatusBadRequest)
			return
		}
		version, err := s.store.Put(s.ctx, key, rc.PostBody(), expected)
		s.answer(rc, version, nil, err)
	case http.MethodDelete:
		expected, err := versionArg(rc, objectapi.ArgExpected)
		if err != nil {
			rc.Error(err.Error(), http.StatusBadRequest)
			return
		}
		s.answer(rc, 0, nil, s.store.Delete(s.ctx, key, expected))
	default:
		rc.Error("method not allowed", http.StatusMethodNotAllowed)
	}
}

func (s *Server) answer(rc *fasthttp.RequestCtx, version store.Version, body []byte, err error) {
	if err != nil {
		s.fail(rc, err)
		return
	}
	rc.Response.Header.Set(objectapi.HeaderVersion, strconv.FormatUint(uint64(version), 10))
	rc.SetContentType("application/octet-stream")
	rc.SetBody(body)
}

func (s *Server) handleList(rc *fasthttp.RequestCtx) {
	prefix := string(rc.QueryArgs().Peek(objectapi.ArgPrefix))
	objects, revision, err := s.store.List(s.ctx, prefix)
	if err != nil {
		s.fail(rc, err)
		return
	}
	body := objectapi.ListBody{Revision: revision, Objects: make([]objectapi.WireObject, len(objects))}
	for i, obj := range objects {
		body.Objects[i] = objectapi.WireObject{Key: obj.Key, Value: obj.Value, Version: obj.Version}
	}
	writeJSON(rc, body)
}

func (s *Server) handleWatch(rc *fasthttp.RequestCtx) {
	after, err := versionArg(rc, objectapi.ArgAfter)
	if err != nil {
		rc.Error(err.Error(), http.StatusBadRequest)
		return
	}
	timeout := time.Duration(rc.QueryArgs().GetUintOrZero(objectapi.ArgTimeout)) * time.Millisecond
	ctx, cancel := context.WithTimeout(s.ctx, min(timeout, maxWatch))
	defer cancel()
	events, err := s.store.Watch(ctx, string(rc.QueryArgs().Peek(objectapi.ArgPrefix)), after)
	if err != nil {
		s.fail(rc, err)
		return
	}
	body := objectapi.WatchBody{Events: make([]objectapi.WireObject, len(events))}
	for i, e := range events {
		body.Events[i] = objectapi.WireObject{Key: e.Key, Value: e.Value, Version: e.Version, Deleted: e.Deleted}
	}
	writeJSON(rc, body)
}

func (s *Server) handleVMs(rc *fasthttp.RequestCtx) {
	vms, err := s.store.ListVMs(s.ctx)
	if err != nil {
		s.fail(rc, err)
		return
	}
	writeJSON(rc, objectapi.VMsBody{VMs: vms})
}

func (s *Server) handleAdmin(rc *fasthttp.RequestCtx) {
	var admin Admin
	decoder := json.NewDecoder(bytes.NewReader(rc.PostBody()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&admin); err != nil {
		rc.Error(err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.Apply(admin); err != nil {
		rc.Error(err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(rc, s.store.Faults())
}

// Apply replaces the faults, changes the VM list and performs the actions, in this order.
// It stops with an error at an unknown action; what was applied before it stays.
func (s *Server) Apply(admin Admin) error {
	if admin.Faults != nil {
		s.store.SetFaults(*admin.Faults)
	}
	for _, vm := range admin.SetVMs {
		s.store.VMs.Set(vm)
	}
	for _, id := range admin.RemoveVMs {
		s.store.VMs.Remove(id)
	}
	for _, action := range admin.Actions {
		if err := s.act(action); err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) act(action Action) error {
	switch action {
	case Compact:
		s.store.Objects.Compact()
	case Snapshot:
		s.store.Snapshot()
	case Restore:
		s.store.Restore()
	case HoldVMs:
		s.store.VMs.Hold()
	case ReleaseVMs:
		s.store.VMs.Release()
	default:
		return errors.Errorf("unknown action %q", action)
	}
	return nil
}

// fail answers with the error's status. If the outcome of the call must stay unknown to
// the caller, it closes the connection without an answer.
func (s *Server) fail(rc *fasthttp.RequestCtx, err error) {
	if errors.Is(err, store.ErrUnknown) {
		rc.HijackSetNoResponse(true)
		rc.Hijack(func(net.Conn) {})
		return
	}
	rc.Error(err.Error(), statusOf(err))
}

// statusOf returns the HTTP status that stands for the error.
func statusOf(err error) int {
	switch {
	case errors.Is(err, store.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, store.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, store.ErrCompacted):
		return http.StatusGone
	case errors.Is(err, store.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, context.Canceled):
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}

func versionArg(rc *fasthttp.RequestCtx, name string) (store.Version, error) {
	v, err := strconv.ParseUint(string(rc.QueryArgs().Peek(name)), 10, 64)
	return store.Version(v), errors.Wrap(err, name)
}

func writeJSON(rc *fasthttp.RequestCtx, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		rc.Error(err.Error(), http.StatusInternalServerError)
		return
	}
	rc.SetContentType("application/json")
	rc.SetBody(data)
}
