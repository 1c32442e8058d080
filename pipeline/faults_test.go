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

// Faults of a target at each step of a request, before or after it runs the request.
var (
	cutBeforeRun = func(_ *fakeTarget, nc net.Conn, _ *http.Request) { nc.Close() }
	cutAfterRun  = func(f *fakeTarget, nc net.Conn, r *http.Request) {
		f.countRun(r)
		nc.Close()
	}
	cutInHeader = func(f *fakeTarget, nc net.Conn, r *http.Request) {
		f.countRun(r)
		fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nContent-Le")
		nc.Close()
	}
	cutInBody = func(f *fakeTarget, nc net.Conn, r *http.Request) {
		f.countRun(r)
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 100\r\n\r\nanswer", target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
		nc.Close()
	}
	cutInChunks = func(f *fakeTarget, nc net.Conn, r *http.Request) {
		f.countRun(r)
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n", target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
		nc.Close()
	}
	answerWithoutLength = func(f *fakeTarget, nc net.Conn, r *http.Request) {
		f.countRun(r)
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\nanswer", target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
		nc.Close()
	}
	silentBeforeRun = func(_ *fakeTarget, nc net.Conn, _ *http.Request) { awaitClose(nc) }
	silentAfterRun  = func(f *fakeTarget, nc net.Conn, r *http.Request) {
		f.countRun(r)
		awaitClose(nc)
	}
	silentInBody = func(f *fakeTarget, nc net.Conn, r *http.Request) {
		f.countRun(r)
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 100\r\n\r\nanswer", target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
		awaitClose(nc)
	}
	answerLate = func(f *fakeTarget, nc net.Conn, r *http.Request) {
		f.countRun(r)
		nc.SetReadDeadline(time.Now().Add(2 * time.Second))
		awaitClose(nc)
		answer(nc, r, 200, "", "answer to "+r.URL.Path)
	}
	answerOtherRequest = func(f *fakeTarget, nc net.Conn, r *http.Request) {
		f.countRun(r)
		r.Header.Set(target.HeaderRequestID, "another")
		answer(nc, r, 200, "", "answer to another")
	}
	answerTwice = func(f *fakeTarget, nc net.Conn, r *http.Request) {
		f.countRun(r)
		var both bytes.Buffer
		answer(&both, r, 200, "", "answer to "+r.URL.Path)
		r.Header.Set(target.HeaderRequestID, "another")
		answer(&both, r, 200, "", "answer to another")
		nc.Write(both.Bytes())
	}
)

// awaitClose blocks without sending anything until the entry closes the connection.
func awaitClose(nc net.Conn) { io.Copy(io.Discard, nc) }

// refuseWith returns a behaviour that refuses the request with the result value.
func refuseWith(value string) behaviour {
	return func(_ *fakeTarget, nc net.Conn, r *http.Request) {
		answer(nc, r, 503, target.HeaderResult+": "+value+"\r\n", "refused")
	}
}

// answerWithHead returns a behaviour that runs the request and answers with the status and the header lines.
func answerWithHead(status, lines string) behaviour {
	return func(f *fakeTarget, nc net.Conn, r *http.Request) {
		f.countRun(r)
		fmt.Fprintf(nc, "HTTP/1.1 %s\r\n%s: %s\r\n%sContent-Length: 6\r\n\r\nanswer", status, target.HeaderRequestID, r.Header.Get(target.HeaderRequestID), lines)
	}
}

// TestReportedOutcomeMatchesRuns causes each fault once for a read and once for a
// filing, and compares the outcome reported to the caller with what the target ran.
func TestReportedOutcomeMatchesRuns(t *testing.T) {
	tests := []struct {
		name   string
		fault  behaviour
		read   string // Code of the read's answer; a read may be sent again.
		filing string // Code of the filing's answer; a filing must not be sent again.
	}{
		{"no fault", answerNormally, "0", "0"},
		{"cut before run", cutBeforeRun, "0", "2002"},
		{"cut after run", cutAfterRun, "0", "2002"},
		{"cut in header", cutInHeader, "0", "2002"},
		{"cut in body", cutInBody, "0", "2003"},
		{"cut in chunks", cutInChunks, "0", "2003"},
		{"no length", answerWithoutLength, "0", "2003"},
		{"silent before run", silentBeforeRun, "0", "2001"},
		{"silent after run", silentAfterRun, "0", "2001"},
		{"silent in body", silentInBody, "0", "2001"},
		{"late", answerLate, "0", "2001"},
		{"status 000", answerWithHead("000 Trouble", ""), "0", "2004"},
		{"status 099", answerWithHead("099 Early", ""), "0", "2004"},
		{"status 101", answerWithHead("101 Switching Protocols", ""), "0", "2004"},
		{"control byte in the reason", answerWithHead("200 O\x00K", ""), "0", "2004"},
		{"name with a blank", answerWithHead("200 OK", "X Odd: 1\r\n"), "0", "2004"},
		{"name with a control byte", answerWithHead("200 OK", "X\x00Odd: 1\r\n"), "0", "2004"},
		{"blank before the colon", answerWithHead("200 OK", "X-Odd : 1\r\n"), "0", "2004"},
		{"answer to another request", answerOtherRequest, "0", "2004"},
		{"second answer", answerTwice, "0", "0"},
		{"not owner", refuseWith(target.RefusedNotOwner), "0", "0"},
		{"draining", refuseWith(target.RefusedDraining), "0", "0"},
		{"shed", refuseWith(target.RefusedShed), "1105", "0"},
		{"deadline", refuseWith(target.RefusedDeadline), "1006", "1006"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv(t)
				env.target.setScript(tt.fault)
				got := env.send("GET", "/sheets/a1")
				env.checkOutcome(t, "r1", got)
				is.Equal(got.code, tt.read)
				env.target.setScript(tt.fault)
				got = env.send("POST", "/filings", "Idempotency-Key: k1")
				env.checkOutcome(t, "r2", got)
				is.Equal(got.code, tt.filing)
				is.True(env.target.runs["r2"] <= 1)
				after := env.send("GET", "/sheets/a2")
				env.checkOutcome(t, "r3", after)
				is.Equal(after.body, "answer to /sheets/a2")
			})
		})
	}
}

// checkOutcome compares the outcome reported for a request with its runs at the target.
func (env *testEnv) checkOutcome(t *testing.T, id string, got callerResult) {
	t.Helper()
	env.target.mu.Lock()
	runs := env.target.runs[id]
	env.target.mu.Unlock()
	switch {
	case got.err != nil:
	case got.outcome == "not-run" && runs > 0:
		t.Errorf("request %s: code %s reports not-run, but the target ran it %d times", id, got.code, runs)
	case got.outcome == "done" && runs == 0:
		t.Errorf("request %s: outcome is done, but the target did not run it", id)
	case got.outcome == "":
		t.Errorf("request %s: the answer has no outcome header", id)
	}
}

// TestRandomFaultsNeverContradictOutcomes sends requests through random sequences of
// faults, one sequence per seed, and compares the reported outcomes with the runs.
func TestRandomFaultsNeverContradictOutcomes(t *testing.T) {
	faults := []behaviour{
		answerNormally, answerNormally, cutBeforeRun, cutAfterRun, cutInHeader, cutInBody, cutInChunks, silentBeforeRun,
		silentAfterRun, silentInBody, answerLate, answerOtherRequest, answerTwice, refuseWith(target.RefusedShed), refuseWith(target.RefusedNotOwner),
	}
	for seed := range int64(20) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewSource(seed))
			env := newTestEnv(t)
			for i := range 40 {
				for range 3 {
					env.target.script = append(env.target.script, faults[rng.Intn(len(faults))])
				}
				id := fmt.Sprintf("r%d", i+1)
				if rng.Intn(2) == 0 {
					got := env.send("POST", "/filings", "Idempotency-Key: "+id)
					env.checkOutcome(t, id, got)
					if env.target.runs[id] > 1 {
						t.Errorf("seed %d: filing %s ran %d times, more than once", seed, id, env.target.runs[id])
					}
					continue
				}
				path := "/sheets/" + id
				got := env.send("GET", path)
				env.checkOutcome(t, id, got)
				if got.outcome == "done" && got.body != "answer to "+path {
					t.Errorf("seed %d: answer to the read of %s is %q", seed, path, got.body)
				}
			}
		})
	}
}

func TestFailedDialIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t)
		env.target.refuseDials = true
		got := env.send("POST", "/filings", "Idempotency-Key: k1")
		is.Equal(got.outcome, "not-run")
		is.Equal(env.claims.released, 1)
		is.True(env.target.dials <= 8) // After failures, dials are suspended.
	})
}

func TestOutcomeOfFilingIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t)
		env.send("POST", "/filings", "Idempotency-Key: k1")
		is.Equal(string(env.claims.last.Body), "answer to /filings")
		env.target.setScript(silentAfterRun)
		env.send("POST", "/filings", "Idempotency-Key: k2")
		is.True(env.claims.last.Unknown)
		is.Equal(env.claims.finished, 2)
	})
}

// TestAnswerOfSupersededOwnerIsDiscarded moves the key to another target while the old
// owner answers: the caller must get the answer of the new owner.
func TestAnswerOfSupersededOwnerIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t)
		env.target.script = []behaviour{func(f *fakeTarget, nc net.Conn, r *http.Request) {
			v := testView("sheets-0", 2)
			v.Targets = []ownership.Target{{ID: "t2", Address: "t2:1"}}
			env.views.Apply(v)
			answer(nc, r, 200, "", "stale")
		}}
		got := env.send("GET", "/sheets/a1")
		is.Equal(got.body, "answer to /sheets/a1")
	})
}

// TestReadWaitsForNewOwner leaves the key without an owner for a while, as in a
// failover: a read is answered if an owner appears in time, else refused with 1201.
func TestReadWaitsForNewOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t)
		lost := testView("sheets-0", 2)
		lost.Slots = []ownership.SlotState{{Owner: ownership.NoOwner}}
		env.views.Apply(lost)
		time.AfterFunc(800*time.Millisecond, func() { env.views.Apply(testView("sheets-0", 3)) })
		is.Equal(env.send("GET", "/sheets/a1").code, "0")
		lost = testView("sheets-0", 4)
		lost.Slots = []ownership.SlotState{{Owner: ownership.NoOwner}}
		env.views.Apply(lost)
		got := env.send("GET", "/sheets/a1")
		is.Equal(got.code, "1201")
		is.Equal(got.outcome, "not-run")
	})
}
