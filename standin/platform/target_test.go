package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	grantFormat   = `{"from":%d,"target":%d,"fence":%d,"hold_time":"%s"}`
	releaseFormat = `{"from":%d,"target":%d,"fence":%d}`
)

func newKeyedTarget(work time.Duration) *Target {
	return NewTarget(TargetOptions{ID: "t", Keyed: true, Slots: 6, Queue: 6, Work: work})
}

// sendOrder sends an order and returns its answer.
func sendOrder(t *Target, path, format string, args ...any) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	t.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(fmt.Sprintf(format, args...))))
	return w
}

// sendRequest sends a request for the key and returns the status.
func sendRequest(t *Target, key int) int {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	r.Header.Set("Attempt-Id", fmt.Sprintf("r%d", key))
	r.Header.Set("Shard-Key", strconv.Itoa(key))
	t.ServeHTTP(w, r)
	return w.Code
}

// inBackground starts the function and returns the time that it took, or will have taken.
func inBackground(f func()) <-chan time.Duration {
	took := make(chan time.Duration, 1)
	began := time.Now()
	go func() {
		f()
		took <- time.Since(began)
	}()
	synctest.Wait()
	return took
}

// Guards against a stand-in that hides a key that is given on while its last holder still works on it: it answered a
// release at once, with requests on the keys running.
func TestReleaseIsAnsweredWhenTheWorkOnItsKeysHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		target := newKeyedTarget(700 * time.Millisecond)
		is.Equal(sendOrder(target, "/grant", grantFormat, 0, 100, 1, "3s").Code, http.StatusOK)
		var status int
		worked := inBackground(func() { status = sendRequest(target, 50) })
		time.Sleep(200 * time.Millisecond)
		other := inBackground(func() { sendOrder(target, "/release", releaseFormat, 60, 100, 2) })
		is.Equal(<-other, time.Duration(0)) // No request runs on these keys.
		var handover string
		first := inBackground(func() {
			handover = sendOrder(target, "/release", releaseFormat, 0, 59, 3).Header().Get("Handover")
		})
		second := inBackground(func() { sendOrder(target, "/release", releaseFormat, 50, 50, 4) })
		is.Equal(sendRequest(target, 50), http.StatusMisdirectedRequest) // New work has stopped at once.
		is.Equal(<-first, 500*time.Millisecond)
		is.Equal(handover, "t-3")
		is.Equal(<-second, 500*time.Millisecond)
		is.Equal(<-worked, 700*time.Millisecond)
		is.Equal(status, http.StatusOK)
	})
}

func TestReleaseEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		target := newKeyedTarget(time.Second)
		sendOrder(target, "/grant", grantFormat, 0, 100, 1, "3s")
		worked := inBackground(func() { sendRequest(target, 50) })
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		body := strings.NewReader(fmt.Sprintf(releaseFormat, 0, 100, 2))
		released := inBackground(func() {
			target.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/release", body).WithContext(ctx))
		})
		is.Equal(<-released, 100*time.Millisecond)
		is.Equal(<-worked, time.Second)
	})
}

// Guards against work that outlasts its hold and yet succeeds. A renewal prolongs it, a release does not shorten it.
func TestWorkThatOutlastsItsHoldEndsWith500(t *testing.T) {
	for _, tt := range []struct {
		name            string
		renew, released bool
		status          int
		took            time.Duration
	}{
		{"no renewal", false, false, http.StatusInternalServerError, time.Second},
		{"released", false, true, http.StatusInternalServerError, time.Second},
		{"renewed", true, false, http.StatusOK, 1200 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				target := newKeyedTarget(1200 * time.Millisecond)
				sendOrder(target, "/grant", grantFormat, 0, 100, 1, "1s")
				var status int
				worked := inBackground(func() { status = sendRequest(target, 50) })
				time.Sleep(500 * time.Millisecond)
				if tt.renew {
					sendOrder(target, "/grant", grantFormat, 0, 100, 1, "1s")
				}
				if tt.released {
					released := inBackground(func() { sendOrder(target, "/release", releaseFormat, 0, 100, 2) })
					is.Equal(<-released, 500*time.Millisecond)
				}
				is.Equal(<-worked, tt.took)
				is.Equal(status, tt.status)
			})
		})
	}
}

// Guards against a server that cannot be closed, as a caller that has sent more on a hung connection does not show its end.
func TestStopEndsHungCalls(t *testing.T) {
	is := is.New(t)
	target := newKeyedTarget(0)
	target.SetHang(true)
	server := httptest.NewServer(target)
	nc, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer nc.Close()
	_, err = io.WriteString(nc, strings.Repeat("POST /grant HTTP/1.1\r\nHost: t\r\nContent-Length: 0\r\n\r\n", 2))
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond) // The server has read into the second call.
	closed := make(chan struct{})
	go func() {
		target.Stop()
		server.CloseClientConnections()
		server.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the server is not closed")
	}
}

// Guards against requests that run on after their target's process has ended.
func TestStopEndsTheRequestsThatRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		target := newKeyedTarget(time.Minute)
		sendOrder(target, "/grant", grantFormat, 0, 100, 1, "1m")
		worked := inBackground(func() {
			defer func() { is.Equal(recover(), http.ErrAbortHandler) }()
			sendRequest(target, 50)
		})
		time.Sleep(time.Second)
		target.Stop()
		is.Equal(<-worked, time.Second)
	})
}

// Guards against a stand-in that takes a grant for the end of a longer one before it, which no page says. A release ends all
// holds of its keys.
func TestHoldsRunSideBySide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		target := newKeyedTarget(0)
		is.Equal(sendOrder(target, "/grant", grantFormat, 0, 100, 1, "9s").Code, http.StatusOK)
		is.Equal(sendOrder(target, "/grant", grantFormat, 0, 100, 2, "3s").Code, http.StatusOK)
		is.Equal(sendOrder(target, "/grant", grantFormat, 50, 60, 3, "5s").Code, http.StatusOK)
		time.Sleep(8 * time.Second)
		is.True(target.Holds(0) && target.Holds(55))
		is.Equal(sendRequest(target, 0), http.StatusOK)
		is.Equal(sendOrder(target, "/release", releaseFormat, 0, 54, 4).Code, http.StatusOK)
		is.True(!target.Holds(54) && target.Holds(55))
		time.Sleep(time.Second)
		is.True(!target.Holds(55))
	})
}

func TestGrantBelowASeenFenceIsRefused(t *testing.T) {
	is := is.New(t)
	target := newKeyedTarget(0)
	is.Equal(sendOrder(target, "/grant", grantFormat, 0, 100, 5, "9s").Code, http.StatusOK)
	is.Equal(sendOrder(target, "/grant", grantFormat, 100, 200, 4, "9s").Code, http.StatusConflict)
	is.True(!target.Holds(200))
	is.Equal(sendOrder(target, "/grant", grantFormat, 100, 200, 5, "9s").Code, http.StatusOK)
	// A release is never refused, and forgets no token.
	is.Equal(sendOrder(target, "/release", releaseFormat, 0, 200, 3).Code, http.StatusOK)
	is.True(!target.Holds(0) && !target.Holds(200))
	is.Equal(sendOrder(target, "/grant", grantFormat, 50, 50, 4, "9s").Code, http.StatusConflict)
	is.Equal(sendOrder(target, "/release", releaseFormat, 50, 50, 7).Code, http.StatusOK)
	is.Equal(sendOrder(target, "/grant", grantFormat, 40, 60, 6, "9s").Code, http.StatusConflict)
	is.Equal(sendOrder(target, "/grant", grantFormat, 51, 60, 6, "9s").Code, http.StatusOK)
	// A second grant with the same token renews.
	is.Equal(sendOrder(target, "/grant", grantFormat, 51, 60, 6, "9s").Code, http.StatusOK)
}

// Guards against a stand-in that cannot answer an order twice: what reads the next answer on the connection gets the earlier one.
func TestAnswerToAnOrderIsSentAgainLate(t *testing.T) {
	for _, tt := range []struct {
		name, id string
		pause    time.Duration
	}{
		{"at once", "a", 0},
		{"late", "a", 20 * time.Millisecond},
		{"without an ID", "", 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			target := newKeyedTarget(0)
			target.SetExtraAnswers(func() (time.Duration, bool) { return tt.pause, true })
			server := httptest.NewUnstartedServer(target)
			server.Config.ConnContext = ConnContext
			server.Start()
			defer server.Close()
			nc, err := net.Dial("tcp", server.Listener.Addr().String())
			is.NoErr(err)
			defer nc.Close()
			is.NoErr(nc.SetDeadline(time.Now().Add(10 * time.Second)))
			reader := bufio.NewReader(nc)
			send := func(path, id, body string) {
				if id != "" {
					id = "Attempt-Id: " + id + "\r\n"
				}
				_, err := fmt.Fprintf(nc, "POST %s HTTP/1.1\r\nHost: t\r\n%sContent-Length: %d\r\n\r\n%s", path, id, len(body), body)
				is.NoErr(err)
			}
			read := func() *http.Response {
				resp, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				_, err = io.Copy(io.Discard, resp.Body)
				is.NoErr(err)
				return resp
			}
			send("/grant", tt.id, fmt.Sprintf(grantFormat, 0, 100, 1, "9s"))
			for range 2 {
				resp := read()
				is.Equal(resp.StatusCode, http.StatusOK)
				is.Equal(resp.Header.Values("Attempt-Id"), ids(tt.id))
				is.Equal(resp.Header.Get("Handover"), "")
			}
			target.SetExtraAnswers(nil)
			send("/release", tt.id, fmt.Sprintf(releaseFormat, 0, 100, 2))
			resp := read()
			is.Equal(resp.Header.Values("Attempt-Id"), ids(tt.id))
			is.Equal(resp.Header.Get("Handover"), "t-2")
			is.Equal(reader.Buffered(), 0)
		})
	}
}

// ids returns the values of the header of an answer to an order with the ID, which may be empty.
func ids(id string) []string {
	if id == "" {
		return nil
	}
	return []string{id}
}

// Guards against order answers that name another order: each bears the ID of its own order, refused ones too.
func TestAnswersToOrdersEchoTheirID(t *testing.T) {
	is := is.New(t)
	target := newKeyedTarget(0)
	for i, body := range []string{fmt.Sprintf(grantFormat, 0, 100, 5, "9s"), fmt.Sprintf(grantFormat, 0, 100, 4, "9s"), "no order"} {
		r := httptest.NewRequest(http.MethodPost, "/grant", strings.NewReader(body))
		r.Header.Set("Attempt-Id", strconv.Itoa(i))
		w := httptest.NewRecorder()
		target.ServeHTTP(w, r)
		is.Equal(w.Code, []int{http.StatusOK, http.StatusConflict, http.StatusBadRequest}[i])
		is.Equal(w.Header().Get("Attempt-Id"), strconv.Itoa(i))
	}
	is.Equal(sendOrder(target, "/grant", grantFormat, 0, 100, 5, "9s").Header().Values("Attempt-Id"), nil)
}

func TestEveryNthRequestRunsLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		target := newKeyedTarget(0)
		target.SetLongWork(2, time.Minute)
		sendOrder(target, "/grant", grantFormat, 0, 100, 1, "2m")
		var long []<-chan time.Duration
		for range 3 {
			is.Equal(sendRequest(target, 1), http.StatusOK)
			long = append(long, inBackground(func() { sendRequest(target, 1) }))
		}
		is.Equal(sendRequest(target, 1), http.StatusOK)
		is.Equal(sendRequest(target, 1), http.StatusOK) // Half of the slots run long.
		target.SetLongWork(0, 0)
		for _, took := range long {
			is.Equal(<-took, time.Minute)
		}
	})
}
