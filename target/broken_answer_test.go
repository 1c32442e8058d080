package target_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/httphead"
	"github.com/basiltally/basiltally/standin/rawanswer"
	"github.com/basiltally/basiltally/target"
)

func checkBroken(t *testing.T, answer string) {
	t.Helper()
	is := is.New(t)
	client := target.NewClient(target.ClientOptions{Timeout: 20 * time.Second})
	defer client.Close()
	address := rawanswer.Start(t, rawanswer.Options{Answer: answer})
	_, err := client.Renew(t.Context(), address, target.RenewRequest{Group: "g"})
	is.True(errors.Is(err, httphead.ErrInvalid))
	_, err = client.Health(t.Context(), address)
	is.True(errors.Is(err, httphead.ErrInvalid))
}

// Status 000 was taken for 200, so that a renewal that the target had not accepted counted as one.
func TestReplyWithAnInvalidStatusIsNoReply(t *testing.T) {
	checkBroken(t, "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\n{}")
}

func TestReplyWithAnInvalidHeaderLineIsNoReply(t *testing.T) {
	for _, line := range []string{"X Odd: 1", "X-Odd : 1", "X\x00Odd: 1"} {
		checkBroken(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 2\r\n\r\n{}")
	}
}
