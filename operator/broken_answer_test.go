package operator

import (
	"testing"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/standin/rawanswer"
)

func checkBroken(t *testing.T, answer string) {
	t.Helper()
	is := is.New(t)
	c := NewClient(Options{Addresses: []string{rawanswer.Start(t, rawanswer.Options{Answer: answer})}})
	_, err := c.Command(t.Context(), "drain", "t1")
	is.Equal(ExitCode(err), ExitUnknown)
	is.True(c.StatusAll(t.Context())[0].Error != "")
}

// Status 000 was taken for 200.
func TestAnswerWithAnInvalidStatusIsNoAnswer(t *testing.T) {
	checkBroken(t, "HTTP/1.1 000 Trouble\r\nContent-Length: 22\r\n\r\n{\"code\":0,\"version\":7}")
}

func TestAnswerWithAnInvalidHeaderLineIsNoAnswer(t *testing.T) {
	for _, line := range []string{"X Odd: 1", "X-Odd : 1", "X\x00Odd: 1"} {
		checkBroken(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 22\r\n\r\n{\"code\":0,\"version\":7}")
	}
}
