package objectapi

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/standin"
	"github.com/basiltally/basiltally/standin/faultstore"
	"github.com/basiltally/basiltally/standin/vmlist"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/memstore"
	client "github.com/basiltally/basiltally/store/objectapi"
)

// testTimeout ends a test that would otherwise hang. No test result depends on its length.
const testTimeout = 20 * time.Second

func start(t *testing.T) (*faultstore.Store, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	st := faultstore.New(memstore.New(memstore.Options{}), vmlist.New(nil))
	server := New(st)
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
	return st, ln.Addr().String()
}

// admin posts a body to standin.FaultsPath and returns the status.
func admin(t *testing.T, address, body string) int {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + address + standin.FaultsPath)
	req.Header.SetMethod(http.MethodPost)
	req.SetBodyString(body)
	if err := fasthttp.DoTimeout(req, resp, testTimeout); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode()
}

func TestAdministration(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	st, address := start(t)
	c := client.New(client.Options{Address: address})
	defer c.Close()

	v1, err := c.Put(ctx, "a", []byte("old"), 0)
	is.NoErr(err)
	is.Equal(admin(t, address, `{"actions":["snapshot"]}`), http.StatusOK)
	_, err = c.Put(ctx, "a", []byte("new"), v1)
	is.NoErr(err)
	is.Equal(admin(t, address, `{"actions":["compact"]}`), http.StatusOK)
	_, err = c.Watch(ctx, "a", v1)
	is.True(errors.Is(err, store.ErrCompacted))
	is.Equal(admin(t, address, `{"actions":["restore"]}`), http.StatusOK)
	obj, err := c.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(string(obj.Value), "old")

	is.Equal(admin(t, address, `{"set_vms":[{"id":"x"}],"actions":["hold-vms"]}`), http.StatusOK)
	is.Equal(admin(t, address, `{"remove_vms":["x"]}`), http.StatusOK)
	vms, err := c.ListVMs(ctx)
	is.NoErr(err)
	is.Equal(len(vms), 1) // HoldVMs keeps the removed VM in the list
	is.Equal(admin(t, address, `{"actions":["release-vms"]}`), http.StatusOK)
	vms, err = c.ListVMs(ctx)
	is.NoErr(err)
	is.Equal(len(vms), 0)

	is.Equal(admin(t, address, `{"faults":{"refuse":true,"delay_before":"1ms"}}`), http.StatusOK)
	is.Equal(st.Faults(), faultstore.Faults{Refuse: true, DelayBefore: standin.Duration(time.Millisecond)})
	is.Equal(admin(t, address, `{"faults":{"refused":true}}`), http.StatusBadRequest)
	is.Equal(admin(t, address, `{"actions":["explode"]}`), http.StatusBadRequest)
	is.True(st.Faults().Refuse) // the rejected calls left the faults unchanged
}
