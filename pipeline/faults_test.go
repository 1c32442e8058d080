package pipeline_test

import (
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/target"
)

type behaviour = func(*fakeTarget, net.Conn, *http.Request)

// Behaviours of a target at each step of a request.
var (
	cutBeforeRun = func(_ *fakeTarget, nc net.Conn, _ *http.Request) { nc.Close() }
	cutAfterRun  = func(f *fakeTarget, nc net.Conn, r *http.Request) {
		f.run(r)
		nc.Close()
	}
	cutInHeader = func(f *fakeTarget, nc net.Conn, r *http.Request) {
		f.run(r)
		fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nContent-Le")
		nc.Close()
	}
	cutInBody = func(f *fakeTarget, nc net.Conn, r *http.Request) {
		f.run(r)
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 100\r\n\r\nanswer", target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
		nc.Close()
	}
	cutInChunks = func(f *fakeTarget, nc net.Conn, r *http.Request) {
		f.run(r)
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n", target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
		nc.Close()
	}
	noLength = func(f *fakeTarget, nc net.Conn, r *http.Request) {
		f.run(r)
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\nanswer", target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
		nc.Close()
	}
	silentBeforeRun = func(_ *fakeTarget, nc net.Conn, _ *http.Request) { awaitClose(nc) }
	silentAfterRun  = func(f *fakeTarget, nc net.Conn, r *http.Request) {
		f.run(r)
		awaitClose(nc)
	}
	silentInBody = func(f *fakeTarget, nc net.Conn, r *http.Request) {
		f.run(r)
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 100\r\n\r\nanswer", target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
		awaitClose(nc)
	}
	late = func(f *fakeTarget, nc net.Conn, r *http.Request) {
		f.run(r)
		nc.SetReadDeadline(time.Now().Add(2 * time.Second))
		awaitClose(nc)
		answer(nc, r, 200, "", "answer to "+r.URL.Path)
	}
	crossed = func(f *fakeTarget, nc net.Conn, r *http.Request) {
		f.run(r)
		r.Header.Set(target.HeaderRequestID, "another")
		answer(nc, r, 200, "", "answer to another")
	}
	surplus = func(f *fakeTarget, nc net.Conn, r *http.Request) {
		f.run(r)
		var both bytes.Buffer
		answer(&both, r, 200, "", "answer to "+r.URL.Path)
		r.Header.Set(target.HeaderRequestID, "another")
		answer(&both, r, 200, "", "answer to another")
		nc.Write(both.Bytes())
	}
)

// awaitClose is silent until the entry gives the connection up.
func awaitClose(nc net.Conn) { io.Copy(io.Discard, nc) }

func refused(value string) behaviour {
	return func(_ *fakeTarget, nc net.Conn, r *http.Request) {
		answer(nc, r, 503, target.HeaderResult+": "+value+"\r\n", "refused")
	}
}

// TestToldOutcomeMatchesRuns brings about each fault at each step, once, for a
// read and a filing, and compares what the caller is told with what ran.
func TestToldOutcomeMatchesRuns(t *testing.T) {
	tests := []struct {
		name   string
		fault  behaviour
		read   string // Code told for the read, which may be sent again.
		filing string // Code told for the filing, which may not.
	}{
		{"none", whole, "0", "0"},
		{"cut before run", cutBeforeRun, "0", "2002"},
		{"cut after run", cutAfterRun, "0", "2002"},
		{"cut in header", cutInHeader, "0", "2002"},
		{"cut in body", cutInBody, "0", "2003"},
		{"cut in chunks", cutInChunks, "0", "2003"},
		{"no length", noLength, "0", "2003"},
		{"silent before run", silentBeforeRun, "0", "2001"},
		{"silent after run", silentAfterRun, "0", "2001"},
		{"silent in body", silentInBody, "0", "2001"},
		{"late", late, "0", "2001"},
		{"crossed", crossed, "0", "2004"},
		{"surplus", surplus, "0", "0"},
		{"not owner", refused(target.RefusedNotOwner), "0", "0"},
		{"draining", refused(target.RefusedDraining), "0", "0"},
		{"shed", refused(target.RefusedShed), "1105", "0"},
		{"deadline", refused(target.RefusedDeadline), "1006", "1006"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(t)
				b.target.play(tt.fault)
				got := b.do("GET", "/sheets/a1")
				b.check(t, "r1", got)
				is.Equal(got.code, tt.read)
				b.target.play(tt.fault)
				got = b.do("POST", "/filings", "Idempotency-Key: k1")
				b.check(t, "r2", got)
				is.Equal(got.code, tt.filing)
				is.True(b.target.runs["r2"] <= 1)
				after := b.do("GET", "/sheets/a2")
				b.check(t, "r3", after)
				is.Equal(after.body, "answer to /sheets/a2")
			})
		})
	}
}

// check compares an outcome with the runs of the request.
func (b *bench) check(t *testing.T, id string, got outcome) {
	t.Helper()
	b.target.mu.Lock()
	runs := b.target.runs[id]
	b.target.mu.Unlock()
	switch {
	case got.err != nil:
	case got.outcome == "not-run" && runs > 0:
		t.Errorf("%s: told %s not run, ran %d times", id, got.code, runs)
	case got.outcome == "done" && runs == 0:
		t.Errorf("%s: told done, did not run", id)
	case got.outcome == "":
		t.Errorf("%s: the answer has no outcome", id)
	}
}

// TestRandomFaultsNeverContradictOutcomes runs seeded histories of faults.
func TestRandomFaultsNeverContradictOutcomes(t *testing.T) {
	faults := []behaviour{
		whole, whole, cutBeforeRun, cutAfterRun, cutInHeader, cutInBody, cutInChunks, silentBeforeRun,
		silentAfterRun, silentInBody, late, crossed, surplus, refused(target.RefusedShed), refused(target.RefusedNotOwner),
	}
	for seed := range int64(20) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewSource(seed))
			b := newBench(t)
			for i := range 40 {
				for range 3 {
					b.target.script = append(b.target.script, faults[rng.Intn(len(faults))])
				}
				id := fmt.Sprintf("r%d", i+1)
				if rng.Intn(2) == 0 {
					got := b.do("POST", "/filings", "Idempotency-Key: "+id)
					b.check(t, id, got)
					if b.target.runs[id] > 1 {
						t.Errorf("seed %d: filing %s ran %d times", seed, id, b.target.runs[id])
					}
					continue
				}
				path := "/sheets/" + id
				got := b.do("GET", path)
				b.check(t, id, got)
				if got.outcome == "done" && got.body != "answer to "+path {
					t.Errorf("seed %d: %s got %q", seed, path, got.body)
				}
			}
		})
	}
}

func TestFailedDialIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		b.target.refuseDials = true
		got := b.do("POST", "/filings", "Idempotency-Key: k1")
		is.Equal(got.outcome, "not-run")
		is.Equal(b.claims.released, 1)
		is.True(b.target.dials <= 8) // Dials are suspended between failures.
	})
}

func TestOutcomeOfFilingIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		b.do("POST", "/filings", "Idempotency-Key: k1")
		is.Equal(string(b.claims.last.Body), "answer to /filings")
		b.target.play(silentAfterRun)
		b.do("POST", "/filings", "Idempotency-Key: k2")
		is.True(b.claims.last.Unknown)
		is.Equal(b.claims.finished, 2)
	})
}

// TestAnswerOfSupersededOwnerIsDropped lets the key move while its old owner answers.
func TestAnswerOfSupersededOwnerIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		b.target.script = []behaviour{func(f *fakeTarget, nc net.Conn, r *http.Request) {
			v := testView("sheets-0", 2)
			v.Targets = []ownership.Target{{ID: "t2", Address: "t2:1"}}
			b.views.Apply(v)
			answer(nc, r, 200, "", "stale")
		}}
		got := b.do("GET", "/sheets/a1")
		is.Equal(got.body, "answer to /sheets/a1")
	})
}

// TestReadWaitsForNewOwner has no owner for a while, as during a take-over.
func TestReadWaitsForNewOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		lost := testView("sheets-0", 2)
		lost.Slots = []ownership.SlotState{{Owner: ownership.NoOwner}}
		b.views.Apply(lost)
		time.AfterFunc(800*time.Millisecond, func() { b.views.Apply(testView("sheets-0", 3)) })
		is.Equal(b.do("GET", "/sheets/a1").code, "0")
		lost = testView("sheets-0", 4)
		lost.Slots = []ownership.SlotState{{Owner: ownership.NoOwner}}
		b.views.Apply(lost)
		got := b.do("GET", "/sheets/a1")
		is.Equal(got.code, "1201")
		is.Equal(got.outcome, "not-run")
	})
}
