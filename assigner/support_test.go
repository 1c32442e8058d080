package assigner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/assign"
	"github.com/basiltally/basiltally/lease"
	"github.com/basiltally/basiltally/ownership"
)

// TestStopWaitsForReleasesToBeAnswered holds a release back in a link: a stop
// that does not wait for it leaves the successor to wait out the support.
func TestStopWaitsForReleasesToBeAnswered(t *testing.T) {
	const answeredAfter = 40 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &supportLink{
			pending: make(map[ownership.GroupID]assign.SendSupportRequest), asked: make(map[int64][]assign.SendSupportRequest),
			wake: make(chan struct{}, 1),
		}
		a := &Assigner{links: map[ownership.VMID]*supportLink{"vm2": l}}
		l.ask(assign.SendSupportRequest{To: "vm2", Request: lease.SupportRequest{Group: "g", Release: true}})
		go func() {
			l.take(1)
			time.Sleep(answeredAfter)
			l.answered(1)
		}()
		begin := time.Now()
		a.flushLinks(t.Context())
		is.True(time.Since(begin) >= answeredAfter)

		l.ask(assign.SendSupportRequest{To: "vm2", Request: lease.SupportRequest{Group: "g"}})
		limited, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		a.flushLinks(limited) // a silent peer holds the stop up no longer than the limit
		is.True(limited.Err() != nil)
	})
}
