package evidence

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A refused connection once counted as the end of the process behind it, while a cut refused the connections and the
// process went on acting under its lease.
func TestOnlyTheHolderEndsItsLeaseEarly(t *testing.T) {
	const confirmed, lease, now = 10 * time.Second, 3 * time.Second, 11 * time.Second
	for _, tt := range []struct {
		sign Sign
		want time.Duration
	}{
		{Silence, 13 * time.Second},
		{Refusal, 13 * time.Second},
		{Resignation, now},
		{Testimony, now},
	} {
		is.New(t).Equal(ActsUntil(tt.sign, confirmed, lease, now), tt.want)
		is.New(t).Equal(tt.sign.EndsLease(), tt.want == now)
	}
	is.New(t).Equal(ActsUntil(Testimony, confirmed, lease, time.Minute), 13*time.Second) // It had ended before.
}

func TestRefusedLooksIntoTheCause(t *testing.T) {
	is := is.New(t)
	is.True(Refused(&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}))
	is.True(!Refused(&net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}))
	is.True(!Refused(os.ErrDeadlineExceeded))
	is.True(!Refused(nil))
}

func TestOnlyACallThatWasNotSentIsCertainlyNotDone(t *testing.T) {
	is := is.New(t)
	is.True(!NotSent.MayBeDone())
	is.True(Unanswered.MayBeDone())
	is.True(Answered.MayBeDone())
}

func TestOwnShortageSaysNothingOfTheOtherSide(t *testing.T) {
	is := is.New(t)
	is.True(OwnShortage(&net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}))
	is.True(!OwnShortage(&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}))
	is.True(AcceptMayGoOn(os.NewSyscallError("accept4", syscall.EMFILE)))
	is.True(AcceptMayGoOn(os.NewSyscallError("accept4", syscall.ECONNABORTED)))
	is.True(!AcceptMayGoOn(os.NewSyscallError("accept4", syscall.EBADF)))
	is.True(!AcceptMayGoOn(net.ErrClosed))
	is.True(!AcceptMayGoOn(os.ErrDeadlineExceeded))
}
