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

// TestStopWaitsForReleasesToBeAnswered delays the answer to a release. If the
// stop did not wait for it, the release could be lost, and the successor would
// have to wait for one support time.
func TestStopWaitsForReleasesToBeAnswered(t *testing.T) {
	const answeredAfter = 40 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &supportLink{
			pending: make(map[ownership.GroupID]assign.SendSupportRequest), unanswered: make(map[int64][]assign.SendSupportRequest),
			wake: make(chan struct{}, 1),
		}
		a := &Assigner{links: map[ownership.VMID]*supportLink{"vm2": l}}
		l.enqueue(assign.SendSupportRequest{To: "vm2", Request: lease.SupportRequest{Group: "g", Release: true}})
		go func() {
			l.takePending(1)
			time.Sleep(answeredAfter)
			l.takeAnswered(1)
		}()
		begin := time.Now()
		a.flushLinks(t.Context())
		is.True(time.Since(begin) >= answeredAfter)

		l.enqueue(assign.SendSupportRequest{To: "vm2", Request: lease.SupportRequest{Group: "g"}})
		limited, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		a.flushLinks(limited) // a peer that does not answer delays the stop by the limit at most
		is.True(limited.Err() != nil)
	})
}
