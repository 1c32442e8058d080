package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A target that has named a limit must not get more requests than that allows; the others are refused at once.
func TestNamedLimitBoundsRequests(t *testing.T) {
	const (
		limitPerSecond = 5
		// allowed is what a target may get in 4 s at this limit, whatever the number of VMs.
		allowed  = 1.5*limitPerSecond*4 + 5
		requests = 200
	)
	limited := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Server-Limit", "5.0")
		answerOK(w, r)
	}
	for name, keyed := range map[string]bool{"with keys": true, "without keys": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, keyed, limited)
			for range requests { // Takes far less than 4 s.
				r := f.send("/unsafe/x", "5")
				if r.Status != http.StatusOK {
					is.Equal(r.Status, http.StatusServiceUnavailable)
					is.True(strings.Contains(string(r.Header), "Retry-After"))
				}
			}
			is.True(float64(f.requestsReceived()) <= allowed)
		})
	}
}

// An answer may end long after its header was sent, when the target did not name its limit yet.
func TestAnswerThatEndsLateDoesNotLiftALimit(t *testing.T) {
	is := is.New(t)
	begun, end := make(chan struct{}), make(chan struct{})
	f := newFixture(t, true, func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/unsafe/slow") {
			w.Header().Set("Server-Limit", "5.0")
			answerOK(w, r)
			return
		}
		answerOK(w, r)
		is.NoErr(http.NewResponseController(w).Flush())
		close(begun)
		<-end
	})
	slow := make(chan int)
	go func() { slow <- f.send("/unsafe/slow", "5").Status }()
	<-begun
	time.Sleep(100 * time.Millisecond) // The header arrives.
	is.Equal(f.send("/unsafe/x", "5").Status, http.StatusOK)
	close(end)
	is.Equal(<-slow, http.StatusOK)
	// This VM does not know how many share the limit, so that it has no share.
	is.Equal(f.send("/unsafe/x", "5").Status, http.StatusServiceUnavailable)
	is.Equal(f.requestsReceived(), 2)
}
