package gateway_test

import (
	"net/http"
	"strings"
	"testing"

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
