package shard

import "time"

// bulkLinkShare is the share of its link that the assigner uses for tables and target states. Orders and the confirmation
// of the role wait in the link behind them.
const bulkLinkShare = 0.5

// linkAllowance tells when the assigner may send more in bulk, so that the average stays below a share of its link. The
// zero value does not bound it. Instants are those of boottime.Now.
type linkAllowance struct {
	bytesPerSecond float64
	// usedUntil is the instant at which the link share has carried what was sent.
	usedUntil time.Duration
}

// newLinkAllowance returns an allowance of bulkLinkShare of a link of the bandwidth in Mbit/s, zero if it is unknown.
func newLinkAllowance(linkMbps float64) linkAllowance {
	return linkAllowance{bytesPerSecond: bulkLinkShare * linkMbps * 1e6 / 8}
}

// free reports whether more may be sent now.
func (l *linkAllowance) free(now time.Duration) bool { return now >= l.usedUntil }

// use records that the bytes were sent.
func (l *linkAllowance) use(bytes int, now time.Duration) {
	if l.bytesPerSecond > 0 {
		l.usedUntil = max(l.usedUntil, now) + time.Duration(float64(bytes)/l.bytesPerSecond*float64(time.Second))
	}
}
