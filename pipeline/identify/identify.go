// Package identify provides the filter that determines the tenant, the class, the
// key and the deadline of a request.
package identify

import (
	"context"
	"sort"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/config"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pipeline"
	"github.com/basiltally/basiltally/result"
)

// maxIdempotencyKey is the length of the longest accepted idempotency key in bytes.
const maxIdempotencyKey = 256

// Options are the options of the filter.
type Options struct {
	// Bundle returns the current configuration bundle, or nil if there is none.
	Bundle func() *config.Bundle
}

type filter struct {
	opts  Options
	index atomic.Pointer[index]
	next  pipeline.Handler
}

// New returns the filter.
func New(opts Options) pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		return &filter{opts: opts, next: next}
	}
}

// Serve implements pipeline.Handler.
func (f *filter) Serve(req *pipeline.Request) error {
	ix := f.currentIndex()
	if ix == nil {
		return result.New(result.ConfigStale, "the entry has no configuration bundle")
	}
	if err := ix.identify(req); err != nil {
		return err
	}
	return f.next.Serve(req)
}

// currentIndex returns the index of the current bundle, or nil if there is no bundle.
func (f *filter) currentIndex() *index {
	bundle := f.opts.Bundle()
	if bundle == nil {
		return nil
	}
	ix := f.index.Load()
	if ix == nil || ix.bundle != bundle {
		ix = newIndex(bundle)
		f.index.Store(ix)
	}
	return ix
}

// index maps tenant names and paths to the definitions in a bundle.
type index struct {
	bundle  *config.Bundle
	tenants map[string]*tenantIndex
	// singleTenant is the tenant of requests without a tenant header. It is nil unless
	// the bundle has exactly one tenant.
	singleTenant *tenantIndex
}

type tenantIndex struct {
	tenant *config.Tenant
	// classes are sorted by length of the path prefix, longest first.
	classes []classIndex
}

type classIndex struct {
	class *config.Class
	pool  *config.Pool
}

func newIndex(b *config.Bundle) *index {
	ix := &index{bundle: b, tenants: map[string]*tenantIndex{}}
	for i := range b.Tenants {
		t := newTenantIndex(b, &b.Tenants[i])
		ix.tenants[t.tenant.Name] = t
		ix.singleTenant = t
	}
	if len(b.Tenants) != 1 {
		ix.singleTenant = nil
	}
	return ix
}

func newTenantIndex(b *config.Bundle, t *config.Tenant) *tenantIndex {
	ti := &tenantIndex{tenant: t}
	for i := range t.Classes {
		c := &t.Classes[i]
		ti.classes = append(ti.classes, classIndex{c, b.PoolByName(c.Pool)})
	}
	sort.SliceStable(ti.classes, func(i, j int) bool {
		return len(ti.classes[i].class.PathPrefix) > len(ti.classes[j].class.PathPrefix)
	})
	return ti
}

func (ix *index) identify(req *pipeline.Request) error {
	t, err := ix.tenant(req.HTTP)
	if err != nil {
		return err
	}
	path := requestPath(req.HTTP)
	c, err := t.class(path)
	if err != nil {
		return err
	}
	req.Tenant = t.tenant
	req.Class = c.class
	req.Pool = c.pool
	if err := setKey(req, path[len(c.class.PathPrefix):]); err != nil {
		return err
	}
	if err := setIdempotencyKey(req); err != nil {
		return err
	}
	if err := setDeadline(req); err != nil {
		return err
	}
	return checkBodySize(req)
}

func (ix *index) tenant(h *fasthttp.Request) (*tenantIndex, error) {
	name := h.Header.Peek(pipeline.HeaderTenant)
	if len(name) == 0 && ix.singleTenant != nil {
		return ix.singleTenant, nil
	}
	t, ok := ix.tenants[string(name)]
	if !ok {
		return nil, result.New(result.UnknownTenant, "no tenant is named %q", name)
	}
	return t, nil
}

// requestPath returns the path as the caller sent it, without the query.
func requestPath(h *fasthttp.Request) string {
	uri := string(h.Header.RequestURI())
	path, _, _ := strings.Cut(uri, "?")
	return path
}

func (t *tenantIndex) class(path string) (classIndex, error) {
	for _, c := range t.classes {
		if strings.HasPrefix(path, c.class.PathPrefix) && c.pool != nil {
			return c, nil
		}
	}
	return classIndex{}, result.New(result.UnknownClass, "no class matches the path %q", path)
}

// setKey sets the request's group and, for a keyed class, its key: the path segment
// after the prefix of the class.
func setKey(req *pipeline.Request, pathAfterPrefix string) error {
	if len(req.Pool.Groups) == 0 {
		return result.New(result.NoTarget, "pool %s has no group", req.Pool.Name)
	}
	if !req.Pool.Keyed {
		req.Group = req.Pool.Groups[0]
		return nil
	}
	key, _, _ := strings.Cut(strings.TrimPrefix(pathAfterPrefix, "/"), "/")
	if key == "" {
		return result.New(result.BadRequest, "the path has no key after %s", req.Class.PathPrefix)
	}
	req.Key = key
	req.KeyHash = ownership.HashKey([]byte(key))
	req.Group = req.Pool.Groups[req.KeyHash.GroupIndex(len(req.Pool.Groups))]
	return nil
}

func setIdempotencyKey(req *pipeline.Request) error {
	if !req.AtMostOnce() {
		return nil
	}
	key := req.HTTP.Header.Peek(pipeline.HeaderIdempotency)
	if len(key) == 0 {
		return result.New(result.MissingIDKey, "requests of class %s need the header %s", req.Class.Name, pipeline.HeaderIdempotency)
	}
	if len(key) > maxIdempotencyKey {
		return result.New(result.BadRequest, "the header %s has more than %d bytes", pipeline.HeaderIdempotency, maxIdempotencyKey)
	}
	req.IdempotencyKey = string(key)
	return nil
}

// setDeadline sets the request's deadline to the shorter of the class's and the one
// that the caller requested, and ends its context at that instant.
func setDeadline(req *pipeline.Request) error {
	limit := req.Class.Deadline
	if requested := req.HTTP.Header.Peek(pipeline.HeaderDeadline); len(requested) > 0 {
		ms, err := strconv.ParseInt(string(requested), 10, 64)
		if err != nil {
			return result.New(result.BadRequest,
				"the header %s has the value %q, which is not a whole number of milliseconds", pipeline.HeaderDeadline, requested)
		}
		if ms <= 0 {
			return result.New(result.DeadlineTooShort, "the deadline has already passed")
		}
		if ms < limit.Milliseconds() {
			limit = time.Duration(ms) * time.Millisecond
		}
	}
	req.Deadline = req.Start.Add(limit)
	ctx, cancel := context.WithDeadline(req.Context, req.Deadline)
	req.Context = ctx
	req.OnEnd(func(error) { cancel() })
	return nil
}

// checkBodySize checks the body against the size limit of the class. It reads a body
// without a stated length into memory, because only then is its length known.
func checkBodySize(req *pipeline.Request) error {
	limit := req.Class.MaxBody
	n := req.HTTP.Header.ContentLength()
	if n > limit {
		return result.New(result.BodyTooLarge, "the body has %d bytes, the limit is %d bytes", n, limit)
	}
	if n < 0 {
		return req.ReadBody(limit)
	}
	return nil
}
