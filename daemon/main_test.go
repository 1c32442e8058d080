package daemon

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const hangupChild = "BASILTALLY_TEST_HANGUP"

// A SIGHUP that came before the process had set its handler ended it.
func TestHangupDuringTheStartDoesNotEndTheProcess(t *testing.T) {
	if os.Getenv(hangupChild) != "" {
		holdHangups()
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
		return
	}
	child := exec.Command(os.Args[0], "-test.run=^TestHangupDuringTheStartDoesNotEndTheProcess$")
	child.Env = append(os.Environ(), hangupChild+"=1")
	is.New(t).NoErr(child.Run())
}
