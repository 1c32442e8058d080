package relayfeed

import "time"

const (
	// pollSendTime is the longest time until a poll is handed to the network or has failed. It covers
	// the time limit of a dial.
	pollSendTime = 500 * time.Millisecond
	// maxLinkWait is the time after which a poll that has not failed counts as having reached the store, though no
	// other call has shown it. A VM that follows no reader and serves no requests may make no other calls.
	maxLinkWait = 3 * time.Second
	// maxPollWait is longer than any poll.
	maxPollWait = time.Minute
)

// openPoll is a poll of the store without an answer yet. It may wait in the link of this VM before it waits at the
// store.
type openPoll struct {
	// begun is when the call began, and sent when it was handed to the network, or zero if that is not known.
	begun, sent time.Duration
	// arrivedBy is an instant by which the poll had left the link, or zero while that is not known.
	arrivedBy time.Duration
	// checkedAt is the start of the last check, and openChecks the number of those that have not ended.
	checkedAt  time.Duration
	openChecks int
}

// confirmDelivery records that a call of this VM, to any address, which began at the instant began has been answered by
// now. The link passes on what it is given in order, so that the poll has left it if it was handed over before.
func (p *openPoll) confirmDelivery(began, now time.Duration) {
	if p.arrivedBy == 0 && began >= p.handedOver() {
		p.arrivedBy = now
	}
}

// handedOver returns an instant by which the poll was, or will be, handed to the network.
func (p *openPoll) handedOver() time.Duration {
	if p.sent > 0 {
		return p.sent
	}
	return p.begun + pollSendTime
}

// waitsAtStore reports whether the poll shows that there are no changes, apart from those of the last maxPollDelay.
// Until then, a change from before the poll's arrival may be on its way here.
func (p *openPoll) waitsAtStore(now time.Duration) bool {
	arrivedBy := p.arrivedBy
	if arrivedBy == 0 {
		arrivedBy = p.begun + maxLinkWait
	}
	return now-arrivedBy > maxPollDelay
}
