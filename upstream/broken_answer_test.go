package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// methods are the kinds of requests for which answers are read: downloads, filings and uploads whose body is written while the
// answer is read.
var methods = map[string]func(r *Request){
	"download": func(*Request) {},
	"filing":   func(r *Request) { r.Method, r.Body = http.MethodPost, []byte("filing") },
	"upload":   func(r *Request) { r.Method, r.Body = http.MethodPost, make([]byte, 24<<20) },
}

// answerEarly returns a script that answers before it reads the body of the request, and reads on.
func answerEarly(text string) script {
	return func(_ *testing.T, nc net.Conn, br *bufio.Reader) {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.WriteString(nc, strings.ReplaceAll(text, "%s", req.Header.Get("X-Id"))); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, br)
	}
}

func checkBroken(t *testing.T, text string) {
	t.Helper()
	for name, set := range methods {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tg := startTarget(t, answerEarly(text))
			r := request("1")
			set(r)
			a, f := do(t, New(Options{Headers: testHeaders}), tg, r)
			is.Equal(a, nil)
			is.True(f.Sent && f.InvalidAnswer)
		})
	}
}

// Status 000 reached callers as 200, and an answer after status 099 or 101 as that to their request.
func TestAnswerWithAnInvalidStatusIsAFailure(t *testing.T) {
	for _, status := range []string{"000 Trouble", "000", "099 Early", "101 Switching Protocols", "700 Odd"} {
		t.Run(status, func(t *testing.T) {
			checkBroken(t, strings.Replace(validAnswer, "200 OK", status, 1))
			checkBroken(t, "HTTP/1.1 "+status+"\r\n\r\n"+validAnswer)
		})
	}
}
