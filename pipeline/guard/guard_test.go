package guard

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/config"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pipeline"
	"github.com/basiltally/basiltally/quarantine"
	"github.com/basiltally/basiltally/result"
	"github.com/basiltally/basiltally/target"
)

// fakeHealthReader reports the crash counter that a test sets.
type fakeHealthReader struct{ crashes int }

func (c *fakeHealthReader) Health(context.Context, string) (target.Health, error) {
	return target.Health{Crashes: c.crashes}, nil
}

func request(path string, owner *ownership.Target) *pipeline.Request {
	h := new(fasthttp.Request)
	h.SetRequestURI(path)
	return &pipeline.Request{
		HTTP: h, Tenant: &config.Tenant{Name: "wales"}, Class: &config.Class{Name: "sheet"},
		Owner: ownership.Owner{Target: owner},
	}
}

func TestRequestIsQuarantinedAfterSecondCrash(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0") // the target listens again after each crash
	is.NoErr(err)
	defer listener.Close()
	owner := &ownership.Target{ID: "t1", Address: listener.Addr().String()}
	health := &fakeHealthReader{}
	tracker := quarantine.New(quarantine.Options{Duration: time.Minute})
	runs := 0
	next := pipeline.HandlerFunc(func(req *pipeline.Request) error {
		runs++
		if string(req.HTTP.URI().Path()) != "/poison" {
			return nil
		}
		health.crashes++
		return result.New(result.TargetLost, "connection reset")
	})
	f := &filter{opts: Options{Tracker: tracker, Health: health}, next: next, crashes: map[ownership.TargetID]int{"t1": 0}}
	for range 2 {
		is.True(isTargetLost(f.Serve(request("/poison", owner))))
	}
	err = f.Serve(request("/poison", owner))
	var refusal *result.Error
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Code, result.Quarantined)
	is.True(refusal.RetryAfter > 0)
	is.Equal(runs, 2)                              // the quarantined request was not run
	is.NoErr(f.Serve(request("/harmless", owner))) // other requests are still served
}

func TestBrokenConnectionWithoutCrashDoesNotQuarantine(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	owner := &ownership.Target{ID: "t1", Address: listener.Addr().String()}
	next := pipeline.HandlerFunc(func(*pipeline.Request) error { return result.New(result.TargetLost, "connection reset") })
	f := &filter{
		opts: Options{Tracker: quarantine.New(quarantine.Options{}), Health: &fakeHealthReader{}},
		next: next, crashes: map[ownership.TargetID]int{"t1": 0},
	}
	for range 5 {
		is.True(isTargetLost(f.Serve(request("/slow", owner))))
	}
}
