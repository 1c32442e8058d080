package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/evidence"
)

var testHeaders = Headers{
	RequestID: "X-Id", TimeLeft: "X-Left", ExpectedTarget: "X-Target", Seal: "X-Seal", NotRun: "X-Not-Run", Load: "X-Load",
}

// target is a scripted target. Each new connection is served by the next script. Once the
// scripts are used up, the last one serves all further connections.
type target struct {
	address string
	// conns receives a value for each accepted connection.
	conns chan struct{}
}

// script serves one connection.
type script func(t *testing.T, nc net.Conn, br *bufio.Reader)

func startTarget(t *testing.T, scripts ...script) *target {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	tg := &target{address: ln.Addr().String(), conns: make(chan struct{}, 16)}
	go func() {
		for i := 0; ; i++ {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			tg.conns <- struct{}{}
			go func(s script) {
				defer nc.Close()
				s(t, nc, bufio.NewReader(nc))
			}(scripts[min(i, len(scripts)-1)])
		}
	}()
	return tg
}

// answerInTurn returns a script that answers one request with each of the texts in turn.
// In a text, %s stands for the request's ID.
func answerInTurn(texts ...string) script {
	return func(_ *testing.T, nc net.Conn, br *bufio.Reader) {
		for _, text := range texts {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			fmt.Fprint(nc, strings.ReplaceAll(text, "%s", req.Header.Get("X-Id")))
		}
	}
}

const validAnswer = "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: 1\r\nX-Load: 3,1,6\r\nContent-Length: 2\r\n\r\nok"

func request(id string) *Request {
	return &Request{ID: id, Method: "GET", URI: "/a?b=c", Header: []byte("Host: h\r\nX-Id: " + id + "\r\n"), TargetID: "t1", Deadline: time.Now().Add(2 * time.Second)}
}

func do(t *testing.T, c *Client, tg *target, r *Request) (*Answer, *Failure) {
	t.Helper()
	a, err := c.Do(context.Background(), tg.address, r)
	if err == nil {
		return a, nil
	}
	var f *Failure
	if !errors.As(err, &f) {
		t.Fatalf("the error is not a *Failure: %v", err)
	}
	return nil, f
}

func TestSilentDialEndsAtDialTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		silent := func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		c := New(Options{Dial: silent})
		started := time.Now()
		is.True(errors.Is(c.Probe(t.Context(), "t1:1"), context.DeadlineExceeded))
		is.Equal(time.Since(started), 400*time.Millisecond)
		started = time.Now()
		_, err := c.acquire(t.Context(), "t1:1", &Request{Deadline: started.Add(time.Minute)})
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(time.Since(started), 400*time.Millisecond)
	})
}

func TestCompleteAnswerIsReturnedAndConnectionReused(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, answerInTurn(validAnswer, validAnswer))
	c := New(Options{Headers: testHeaders})
	for _, id := range []string{"1", "2"} {
		a, f := do(t, c, tg, request(id))
		is.Equal(f, nil)
		is.Equal(string(a.Body), "ok")
		is.Equal(*a.Load, Load{Running: 3, Waiting: 1, Slots: 6})
		is.True(a.Sealed)
		is.True(!strings.Contains(string(a.Header), "X-Load"))
	}
	is.Equal(len(tg.conns), 1)
}

// An answer that is incomplete, invalid or meant for another request must never be
// returned as a success.
func TestInvalidAnswersAreFailures(t *testing.T) {
	tests := map[string]string{
		"short body":           "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: 1\r\nContent-Length: 9\r\n\r\nok",
		"broken chunks":        "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok",
		"not HTTP":             "garbage\r\n\r\n",
		"another request's id": "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Seal: 1\r\nContent-Length: 2\r\n\r\nok",
		"unsealed success":     "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok",
		"encoded body":         "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: 1\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
		"empty answer":         "",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tg := startTarget(t, answerInTurn(text))
			a, f := do(t, New(Options{Headers: testHeaders}), tg, request("1"))
			is.Equal(a, nil)
			is.True(f.Sent) // The target may have run the request.
		})
	}
}

func TestLateAnswerToAnotherRequestIsSkipped(t *testing.T) {
	is := is.New(t)
	late := "HTTP/1.1 200 OK\r\nX-Id: old\r\nX-Seal: 1\r\nContent-Length: 3\r\n\r\nold"
	tg := startTarget(t, answerInTurn(late+validAnswer), answerInTurn(validAnswer))
	c := New(Options{Headers: testHeaders})
	a, f := do(t, c, tg, request("1"))
	is.Equal(f, nil)
	is.Equal(string(a.Body), "ok")
	_, f = do(t, c, tg, request("2"))
	is.Equal(f, nil)
	is.Equal(len(tg.conns), 2) // The connection with the late answer was not used again.
}

func TestSurplusBytesCloseTheConnection(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, answerInTurn(validAnswer+"HTTP/1.1 200 OK\r\nX-Id: %s\r\n"), answerInTurn(validAnswer))
	c := New(Options{Headers: testHeaders})
	_, f := do(t, c, tg, request("1"))
	is.Equal(f, nil)
	_, f = do(t, c, tg, request("2"))
	is.Equal(f, nil)
	is.Equal(len(tg.conns), 2)
}

func TestBodyWithoutLengthEndsWhenTheConnectionCloses(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, answerInTurn("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: 1\r\n\r\nuntil the end"))
	a, f := do(t, New(Options{Headers: testHeaders}), tg, request("1"))
	is.Equal(f, nil)
	is.Equal(string(a.Body), "until the end")
}

func TestResetInBodyWithoutLengthIsAFailure(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: 1\r\n\r\npart")
		time.Sleep(50 * time.Millisecond)
		nc.(*net.TCPConn).SetLinger(0)
	})
	_, f := do(t, New(Options{Headers: testHeaders}), tg, request("1"))
	is.True(f != nil && f.Sent)
}

func TestAnswersThatStateTheRequestDidNotRun(t *testing.T) {
	tests := map[string]string{
		"full":                     "HTTP/1.1 503 Service Unavailable\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"full, without request ID": "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"not the expected target":  "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tg := startTarget(t, answerInTurn(text))
			a, f := do(t, New(Options{Headers: testHeaders}), tg, request("1"))
			is.Equal(f, nil)
			is.True(a.NotRun)
		})
	}
}

func TestRefusedConnectionMeansNotSent(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := ln.Addr().String()
	ln.Close()
	_, err = New(Options{Headers: testHeaders}).Do(context.Background(), address, request("1"))
	var f *Failure
	is.True(errors.As(err, &f))
	is.True(!f.Sent)
	is.True(f.Refused)
}

// When the caller disconnects, the connection to the target is closed, so that the target
// can see it.
func TestCancelClosesTheConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	tg := startTarget(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = br.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := New(Options{Headers: testHeaders}).Do(ctx, tg.address, request("1"))
	is.True(err != nil)
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the connection was not closed within 2 s after the context was cancelled")
	}
}

// A target may answer before it has read a long body. The rest of the body must not be
// read as another request, so the connection is closed.
func TestEarlyAnswerToALongBodyClosesTheConnection(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		fmt.Fprint(nc, strings.ReplaceAll(validAnswer, "%s", "1"))
		time.Sleep(100 * time.Millisecond)
		_, _ = io.Copy(io.Discard, br)
	}, answerInTurn(validAnswer))
	c := New(Options{Headers: testHeaders})
	r := request("1")
	r.Method, r.Body = "POST", make([]byte, 32<<20)
	a, f := do(t, c, tg, r)
	is.Equal(f, nil)
	is.Equal(a.Status, 200)
	_, f = do(t, c, tg, request("2"))
	is.Equal(f, nil)
	is.Equal(len(tg.conns), 2)
}

func TestConnectionsToATargetAreLimited(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	tg := startTarget(t, func(_ *testing.T, nc net.Conn, br *bufio.Reader) {
		<-release
		answerInTurn(validAnswer)(t, nc, br)
	})
	c := New(Options{Headers: testHeaders})
	c.SetLimit(1)
	first := make(chan *Failure, 1)
	go func() {
		_, err := c.Do(context.Background(), tg.address, request("1"))
		f, _ := err.(*Failure)
		first <- f
	}()
	<-tg.conns
	_, f := do(t, c, tg, request("2"))
	is.True(f != nil && !f.Sent && f.Cause == ErrBusy)
	close(release)
	is.Equal(<-first, nil)
}

func TestRequestWaitsForAConnection(t *testing.T) {
	is := is.New(t)
	slow := func(t *testing.T, nc net.Conn, br *bufio.Reader) {
		for {
			if _, err := br.Peek(1); err != nil {
				return
			}
			time.Sleep(30 * time.Millisecond)
			answerInTurn(validAnswer)(t, nc, br)
		}
	}
	tg := startTarget(t, slow)
	c := New(Options{Headers: testHeaders})
	c.SetLimit(1)
	const requests = 8
	done := make(chan error, requests)
	for i := range requests {
		go func() {
			r := request(fmt.Sprint(i))
			r.MaxWait = time.Second
			_, err := c.Do(context.Background(), tg.address, r)
			done <- err
		}()
	}
	for range requests {
		is.NoErr(<-done)
	}
	is.Equal(len(tg.conns), 1)
}

func TestWaitForAConnectionIsBounded(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, func(_ *testing.T, _ net.Conn, br *bufio.Reader) { _, _ = io.Copy(io.Discard, br) })
	c := New(Options{Headers: testHeaders})
	c.SetLimit(1)
	go func() { _, _ = c.Do(context.Background(), tg.address, request("1")) }()
	<-tg.conns
	r := request("2")
	r.MaxWait = 50 * time.Millisecond
	_, f := do(t, c, tg, r)
	is.True(f != nil && f.Cause == ErrBusy)
}

func TestRequestWithoutPermitIsNotSent(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, answerInTurn(validAnswer, validAnswer))
	c := New(Options{Headers: testHeaders})
	refused := errors.New("no permit")
	r := request("1")
	r.Permit = func() error { return refused }
	for range 2 {
		_, f := do(t, c, tg, r)
		is.True(!f.Sent)
		is.Equal(f.Cause, refused)
	}
	_, f := do(t, c, tg, request("2")) // On the connection that was opened for the first request.
	is.Equal(f, nil)
	is.Equal(len(tg.conns), 1)
}

func TestStatementsAreTakenFromTheTargetsOwnAnswersOnly(t *testing.T) {
	const name = "X-Limit"
	head := func(status, headers string) string {
		return "HTTP/1.1 " + status + "\r\nX-Id: %s\r\n" + headers + "Content-Length: 0\r\n\r\n"
	}
	tests := map[string]struct {
		text      string
		limit     float64
		malformed int
		ignored   bool
	}{
		"success":                {text: head("200 OK", "X-Seal: 1\r\n"+name+": 2.5\r\n"), limit: 2.5},
		"refusal":                {text: head("503 Full", "X-Not-Run: 1\r\n"+name+": 2\r\n"), limit: 2},
		"none":                   {text: head("200 OK", "X-Seal: 1\r\n")},
		"misdirected":            {text: head("421 Misdirected", name+": 2\r\n"), ignored: true},
		"neither seal nor claim": {text: head("500 Oops", name+": 2\r\n"), ignored: true},
		"repeated":               {text: head("200 OK", "X-Seal: 1\r\n"+name+": 2\r\n"+name+": 3\r\n"), malformed: 1},
		"negative":               {text: head("200 OK", "X-Seal: 1\r\n"+name+": -2\r\n"), malformed: 1},
		"zero":                   {text: head("200 OK", "X-Seal: 1\r\n"+name+": 0\r\n"), limit: minLimit},
		"next to zero":           {text: head("200 OK", "X-Seal: 1\r\n"+name+": 0.000000000000001\r\n"), limit: minLimit},
		"huge":                   {text: head("200 OK", "X-Seal: 1\r\n"+name+": 99999999999999999999\r\n"), malformed: 1},
		"empty":                  {text: head("200 OK", "X-Seal: 1\r\n"+name+": \r\n"), malformed: 1},
		"not a number":           {text: head("200 OK", "X-Seal: 1\r\n"+name+": NaN\r\n"), malformed: 1},
		"hexadecimal":            {text: head("200 OK", "X-Seal: 1\r\n"+name+": 0x1p4\r\n"), malformed: 1},
	}
	headers := testHeaders
	headers.Limit = name
	for title, tt := range tests {
		t.Run(title, func(t *testing.T) {
			is := is.New(t)
			a, f := do(t, New(Options{Headers: headers}), startTarget(t, answerInTurn(tt.text)), request("1"))
			is.Equal(f, nil)
			is.Equal(a.Statements == nil, tt.ignored)
			if tt.ignored {
				return
			}
			is.Equal(a.Statements.LimitPerSecond, tt.limit)
			is.Equal(len(a.Statements.Malformed), tt.malformed)
			is.Equal(a.Statements.LimitUnclear, tt.malformed > 0)
			is.True(!strings.Contains(string(a.Header), name))
		})
	}
}

func FuzzParseDecimal(f *testing.F) {
	for _, text := range []string{"1", "2.5", ".5", "1e9", "-1", "NaN", "1.2.3", "", "99999999999999999999999999"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if n, ok := parseDecimal(text); ok && !(n >= 0) {
			t.Fatalf("%q parsed as %v", text, n)
		}
	})
}

// A faulty target may write an earlier refusal once more on a kept connection. It must not be taken for the refusal of a
// request that the target runs.
func TestRepeatedRefusalIsNotTakenForAnotherRequests(t *testing.T) {
	const (
		fullWithoutID = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
		misdirected   = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
		fullOther     = "HTTP/1.1 503 Service Unavailable\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	)
	for name, refusal := range map[string]string{"without request ID": fullWithoutID, "misdirected": misdirected, "of an earlier request": fullOther} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tg := startTarget(t, answerInTurn(validAnswer, refusal+validAnswer))
			c := New(Options{Headers: testHeaders})
			_, f := do(t, c, tg, request("1"))
			is.Equal(f, nil)
			a, f := do(t, c, tg, request("2"))
			is.Equal(f, nil)
			is.True(!a.NotRun)
			is.Equal(string(a.Body), "ok")
			is.Equal(len(tg.conns), 1)
		})
	}
}

func TestRequestIsNotSentAgainOnTheConnectionOnWhichItWasRefused(t *testing.T) {
	const full = "HTTP/1.1 503 Service Unavailable\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	is := is.New(t)
	// On the first connection, the earlier refusal comes once more, while the request runs.
	tg := startTarget(t, answerInTurn(full, full), answerInTurn(validAnswer))
	c := New(Options{Headers: testHeaders})
	a, f := do(t, c, tg, request("1"))
	is.Equal(f, nil)
	is.True(a.NotRun)
	a, f = do(t, c, tg, request("1"))
	is.Equal(f, nil)
	is.True(!a.NotRun)
	is.Equal(len(tg.conns), 2)
}

// resetAtOnce is a script that resets the connection before it has read anything.
func resetAtOnce(_ *testing.T, nc net.Conn, br *bufio.Reader) {
	_, _ = br.Peek(1) // The request has arrived.
	_ = nc.(*net.TCPConn).SetLinger(0)
}

// A target that accepts no further connections resets new ones. The next requests must not be sent on
// yet another one, but wait or be refused as not sent.
func TestNoConnectionIsOpenedAfterTheTargetHasResetOne(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, resetAtOnce, answerInTurn(validAnswer))
	c := New(Options{Headers: testHeaders})
	_, f := do(t, c, tg, request("1"))
	is.True(f.Sent && f.Reset)
	for _, id := range []string{"2", "3"} {
		_, f = do(t, c, tg, request(id))
		is.True(!f.Sent)
		is.Equal(f.Cause, ErrBusy)
	}
	is.Equal(len(tg.conns), 1)
	r := request("4")
	r.MaxWait = 100 * time.Millisecond
	_, f = do(t, c, tg, r)
	is.True(!f.Sent)
	r = request("5")
	r.MaxWait = 2 * time.Second
	began := time.Now()
	a, f := do(t, c, tg, r)
	is.Equal(f, nil)
	is.Equal(string(a.Body), "ok")
	is.True(time.Since(began) < time.Second) // It does not wait for longer than the pause.
}

// A head that is broken off at any byte, by the end of the connection or a reset, must never be taken
// for an answer, whether the body has a length, chunks or neither, and after an earlier answer.
func TestBrokenOffHeadIsNoAnswer(t *testing.T) {
	heads := map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nX-Id: 2\r\nX-Seal: 1\r\nContent-Length: 12\r\n\r\n",
		"chunked": "HTTP/1.1 200 OK\r\nX-Id: 2\r\nX-Seal: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"neither": "HTTP/1.1 200 OK\r\nX-Seal: 1\r\nX-Id: 2\r\n\r\n",
		"empty":   "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Seal: 1\r\nX-Id: 2\r\n\r\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			for n := range len(head) {
				for _, reset := range []bool{false, true} {
					breakOff := func(t *testing.T, nc net.Conn, br *bufio.Reader) {
						answerInTurn(validAnswer)(t, nc, br)
						if _, err := http.ReadRequest(br); err != nil {
							return
						}
						fmt.Fprint(nc, head[:n])
						if reset {
							_ = nc.(*net.TCPConn).SetLinger(0)
						}
					}
					is := is.New(t)
					tg := startTarget(t, breakOff)
					c := New(Options{Headers: testHeaders})
					_, f := do(t, c, tg, request("1"))
					is.Equal(f, nil)
					a, f := do(t, c, tg, request("2"))
					is.Equal(a, nil)
					is.True(f != nil && f.Sent)
				}
			}
		})
	}
}

// An address is another target's after a crash, which its answers say.
func TestAnswerOfAnotherTargetAtTheAddressIsNoticed(t *testing.T) {
	headers := testHeaders
	headers.Target = "X-Target"
	for answer, other := range map[string]bool{
		"421 Misdirected\r\nX-Target: t2":                          true,
		"421 Misdirected\r\nX-Target: t2\r\nX-Id: %s":              true,
		"421 Misdirected\r\nX-Target: t1\r\nX-Id: %s":              false,
		"421 Misdirected\r\nX-Id: %s":                              false,
		"503 Full\r\nX-Not-Run: 1\r\nX-Target: t2\r\nX-Id: %s":     false,
		"200 OK\r\nX-Seal: 1\r\nX-Target: t2\r\nX-Id: %s":          false,
		"421 Misdirected\r\nX-Seal: 1\r\nX-Target: t1\r\nX-Id: %s": false,
	} {
		is := is.New(t)
		tg := startTarget(t, answerInTurn("HTTP/1.1 "+answer+"\r\nContent-Length: 0\r\n\r\n"))
		a, f := do(t, New(Options{Headers: headers}), tg, request("1"))
		is.Equal(f, nil)
		is.Equal(a.OtherTarget, other)
	}
}

// A connection to the process that has taken a crashed target's place showed that the target runs.
func TestOnlyConnectionsFromBeforeShowThatATargetRuns(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, answerInTurn(validAnswer, validAnswer))
	c := New(Options{Headers: testHeaders})
	before := time.Now()
	_, f := do(t, c, tg, request("1"))
	is.Equal(f, nil)
	is.True(!c.Connected(tg.address, before))
	is.True(c.Connected(tg.address, time.Now()))
	is.True(!c.Connected("127.0.0.1:1", time.Now()))
}

func TestConnectionOfAProbeServesTheNextRequest(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, answerInTurn(validAnswer, validAnswer))
	c := New(Options{Headers: testHeaders})
	is.NoErr(c.Probe(t.Context(), tg.address))
	is.NoErr(c.Probe(t.Context(), tg.address))
	_, f := do(t, c, tg, request("1"))
	is.Equal(f, nil)
	is.Equal(len(tg.conns), 1)
	is.True(evidence.Refused(c.Probe(t.Context(), "127.0.0.1:1")))
}

// A target that ends one of its idle connections early has restarted; one that keeps them has not, also if it has none.
func TestEndedIdleConnectionsAreNoticed(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		if cn, err := ln.Accept(); err == nil {
			accepted <- cn
		}
	}()
	c := New(Options{})
	address := ln.Addr().String()
	is.True(!c.AnyEnded(address, time.Millisecond)) // There is none.
	is.NoErr(c.Probe(context.Background(), address))
	is.True(!c.AnyEnded(address, time.Millisecond))
	is.NoErr((<-accepted).Close())
	is.True(c.AnyEnded(address, time.Second)) // The end may arrive a moment later.
}

// Guards against a request without an answer as a sign that what the VM sent before has arrived.
func TestOnlyAnsweredRequestsAreReported(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, answerInTurn(validAnswer), answerInTurn())
	began, answered := 0, 0
	c := New(Options{Sending: func() func() {
		began++
		if began == 1 {
			return nil
		}
		return func() { answered++ }
	}, Headers: testHeaders})
	_, f := do(t, c, tg, request("1"))
	is.True(f == nil)
	c.CloseIdle(tg.address)
	_, f = do(t, c, tg, request("2"))
	is.True(f != nil)
	is.Equal([]int{began, answered}, []int{2, 0})
	tg = startTarget(t, answerInTurn(validAnswer))
	_, f = do(t, c, tg, request("3"))
	is.True(f == nil)
	is.Equal([]int{began, answered}, []int{3, 1})
}
