package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// answerRaw gives a sealed answer that has the status and the header lines.
func answerRaw(status, lines string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		nc, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer nc.Close()
		fmt.Fprintf(nc, "HTTP/1.1 %s\r\nAttempt-Id: %s\r\nServer-Seal: 1\r\n%sContent-Length: 6\r\n\r\nbroken", status, r.Header.Get("Attempt-Id"), lines)
	}
}

// checkBroken sends requests whose first answer is as given. It may not reach the caller; only a request that may run again is
// sent to another target.
func checkBroken(t *testing.T, status, lines string) {
	t.Helper()
	is := is.New(t)
	f := newFixture(t, false, answerRaw(status, lines))
	is.Equal(f.send("/safe/x", "1").Status, http.StatusBadGateway)
	received := f.requestsReceived()
	is.Equal(f.send("/unsafe/x", "1").Status, http.StatusBadGateway)
	is.Equal(f.requestsReceived(), received+1)
	f = newFixture(t, false, answerRaw(status, lines), answerOK)
	for range 8 {
		r := f.send("/safe/x", "1")
		is.Equal(r.Status, http.StatusOK)
		is.Equal(string(r.Body), "good")
	}
}

// Status 000 reached callers as 200.
func TestAnswerWithAnInvalidStatusDoesNotReachTheCaller(t *testing.T) {
	for _, status := range []string{"000 Trouble", "099 Early", "101 Switching Protocols", "700 Odd"} {
		t.Run(status, func(t *testing.T) { checkBroken(t, status, "") })
	}
}

// Names with a blank reached callers.
func TestAnswerWithAnInvalidHeaderLineDoesNotReachTheCaller(t *testing.T) {
	for _, line := range []string{"X Odd: 1", "Content Length: 1", "X-Odd : 1", "X\x00Odd: 1"} {
		t.Run(line, func(t *testing.T) { checkBroken(t, "200 OK", line+"\r\n") })
	}
}
