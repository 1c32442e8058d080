package httpcall

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/standin/rawanswer"
	"github.com/basiltally/basiltally/store"
)

// checkBroken makes calls that are answered as given. None may be taken for a whole answer, and a write may have been done.
func checkBroken(t *testing.T, o rawanswer.Options) {
	t.Helper()
	is := is.New(t)
	for _, header := range []string{"", uniqueHeader} {
		c := New(Options{Address: rawanswer.Start(t, o), Timeout: 20 * time.Second, MaxConnections: 2, UniqueHeader: header})
		for _, body := range [][]byte{[]byte("small"), make([]byte, 24<<20)} {
			_, err := c.Write(context.Background(), Call{Method: http.MethodPut, Path: "/x", Body: body})
			is.True(errors.Is(err, store.ErrUnknown))
		}
		_, err := c.Read(context.Background(), Call{Method: http.MethodGet, Path: "/x"})
		is.True(errors.Is(err, store.ErrUnavailable))
	}
}

// Status 000 was taken for 200, so that a write that the server had not done counted as done.
func TestAnswerWithAnInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000 Trouble", "000", "099 Early", "101 Switching Protocols"} {
		t.Run(status, func(t *testing.T) {
			checkBroken(t, rawanswer.Options{Answer: "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\n{}"})
		})
	}
}

// fasthttp reads no answer to a request that it could not write whole, so that only a reset after the write is seen here.
func TestEarlyAnswerThatIsResetIsNoAnswer(t *testing.T) {
	checkBroken(t, rawanswer.Options{
		Answer: "HTTP/1.1 200 OK\r\n\r\n{", Early: true, End: func(nc *net.TCPConn) { _ = nc.SetLinger(0) },
	})
}

func TestAnswerWithAnInvaluniqueHeaderLineIsNoAnswer(t *testing.T) {
	for _, line := range []string{"X Odd: 1", "X-Odd : 1", "Content Length: 1", "Content-Length : 2", "X\x00Odd: 1"} {
		t.Run(line, func(t *testing.T) {
			checkBroken(t, rawanswer.Options{Answer: "HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n{}", End: func(*net.TCPConn) {}})
		})
	}
}
