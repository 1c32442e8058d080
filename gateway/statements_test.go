package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/fleet"
)

// A target that says in an answer that it leaves gets no request that is received later than its drain time after that,
// whatever its entry says.
func TestTargetThatStatesThatItLeavesGetsNoRequestLater(t *testing.T) {
	for name, keyed := range map[string]bool{"with keys": true, "without keys": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, keyed, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Server-Leaving", "1")
				answerOK(w, r)
			})
			is.Equal(f.send("/unsafe/x", "5").Status, 200)
			is.Equal(f.send("/unsafe/x", "5").Status, 200) // Within the drain time.
			f.later = time.Minute
			entry := *f.directory.Snapshot().ByID["t0"]
			entry.State = fleet.Ready // An entry that is read once more does not undo it.
			entry.WarmUpLeft++
			f.directory.Put(&entry)
			r := f.send("/unsafe/x", "5")
			is.Equal(r.Status, http.StatusServiceUnavailable)
			is.True(strings.Contains(string(r.Header), "Retry-After"))
			is.Equal(f.requestsReceived(), 2)
			entry.Born = 2 // A new life starts clean.
			f.directory.Put(&entry)
			f.setOwner("t0", 2)
			is.Equal(f.send("/unsafe/x", "5").Status, 200)
		})
	}
}

// A target that refuses with a time to come back gets next to nothing until then.
func TestTargetThatAsksForAPauseGetsIt(t *testing.T) {
	for name, keyed := range map[string]bool{"with keys": true, "without keys": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, keyed, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Retry-After", "20")
				answerFull(w, r)
			})
			first := f.send("/unsafe/x", "5")
			is.Equal(first.Status, http.StatusServiceUnavailable)
			sent := f.requestsReceived()
			f.later = 600 * time.Millisecond
			for range 50 {
				r := f.send("/safe/x", "5")
				is.Equal(r.Status, http.StatusServiceUnavailable)
				is.True(strings.Contains(string(r.Header), "Retry-After"))
			}
			is.True(f.requestsReceived()-sent <= 2)
			f.later = 30 * time.Second
			f.send("/safe/x", "5")
			is.True(f.requestsReceived() > sent)
		})
	}
}

// Other targets serve while one pauses.
func TestOtherTargetsServeDuringAPause(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, false, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", "20")
		answerFull(w, r)
	}, answerOK)
	for range 30 {
		is.Equal(f.send("/unsafe/x", "5").Status, 200)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	paused := 0
	for _, id := range f.servedBy {
		if id == "t0" {
			paused++
		}
	}
	is.True(paused <= 2)
}
