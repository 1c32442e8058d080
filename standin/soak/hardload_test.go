package soak

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against checks of the soak that miss a broken promise or report one that the rules excuse.
func TestHardLoadChecksFindBrokenPromises(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for _, tt := range []struct {
		name, path string
		cold       int
		set        func(h *hardLoad, n *node)
		want       string
	}{
		{"another region", "/upload/c0.0-1", 0, func(h *hardLoad, _ *node) { delete(h.evacuated, "dc0") }, "allowed regions"},
		{"evacuated", "/free/c0.0-1", 0, func(*hardLoad, *node) {}, "evacuations"},
		{"evacuated, in an outage that began later", "/free/c0.0-1", 0, func(h *hardLoad, _ *node) {
			h.storeFaults, h.storeAwayFrom, h.storeAwayUntil = 1, ago(time.Second/2), ago(time.Second/2)
		}, "evacuations"},
		{"evacuated, in an outage that began earlier", "/free/c0.0-1", 0, func(h *hardLoad, _ *node) {
			h.storeFaults, h.storeAwayFrom, h.storeAwayUntil = 1, ago(5*time.Second), ago(5*time.Second)
		}, ""},
		{"evacuated shortly before", "/free/c0.0-1", 0, func(h *hardLoad, _ *node) { h.evacuated["dc0"] = ago(evacuateBound) }, ""},
		{"evacuated, from a node without contact", "/free/c0.0-1", 0, func(_ *hardLoad, n *node) { n.contactLostAt = ago(3 * time.Second) }, ""},
		{"cold", "/free/c0.0-1", 18, func(h *hardLoad, _ *node) { delete(h.evacuated, "dc0") }, "cold targets"},
		{"cold, within the bound", "/free/c0.0-1", 17, func(h *hardLoad, _ *node) { delete(h.evacuated, "dc0") }, ""},
		{"cold, during an outage from which nodes could not know it", "/free/c0.0-1", 18, func(h *hardLoad, _ *node) {
			delete(h.evacuated, "dc0")
			h.coldFrom["keyed0"] = coldStart{ago(3 * time.Second), true}
			h.storeFaults = 1
		}, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			n := &node{}
			s := &soak{checker: newChecker(), nodes: []*node{n}}
			h := newHardLoad(s, 1)
			h.evacuated["dc0"], h.coldFrom["keyed0"] = ago(6*time.Second), coldStart{ago(6 * time.Second), false}
			tt.set(h, n)
			r := httptest.NewRequest(http.MethodGet, tt.path, nil)
			r.Header.Set("Attempt-Id", "c0.0-1")
			h.reached("keyed0", "dc0", r, now, tt.cold)
			broken := s.checker.finalCheck()
			is.Equal(len(broken) > 0, tt.want != "")
			is.True(tt.want == "" || strings.Contains(broken[0], tt.want))
		})
	}
}

// Guards against a caller that takes a part of a broken answer for one that a VM made itself.
func TestCallerReportsBrokenAnswers(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(brokenMark))
	}))
	defer server.Close()
	c := &caller{
		name: "c0.0", node: &node{callerAddress: server.Listener.Addr().String()}, checker: newChecker(), counts: &outcomeCounts{},
		rng: rand.New(rand.NewPCG(1, 1)), uploads: rand.New(rand.NewPCG(1, 2)),
	}
	defer c.closeConn()
	c.request()
	broken := c.checker.finalCheck()
	is.Equal(len(broken), 1)
	is.True(strings.Contains(broken[0], "broken answers"))
}
