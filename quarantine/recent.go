package quarantine

import (
	"encoding/binary"
	"time"
)

const (
	// recentBuckets is the number of counters of recentRuns, some times the number of requests that a VM serves
	// while they last.
	recentBuckets = 4096
	// recentHalving is the time after which the counts are halved.
	recentHalving = 5 * time.Second
)

// recentRuns counts the whole answers of the last seconds by fingerprint. Fingerprints that share a counter are
// counted together. The zero value has counted none.
type recentRuns struct {
	counts   [recentBuckets]uint32
	halvedAt time.Time
}

func (r *recentRuns) add(fp Fingerprint, now time.Time) {
	r.halve(now)
	r.counts[recentBucket(fp)]++
}

// count returns about as many whole answers as there were in the last 5 to 10 seconds.
func (r *recentRuns) count(fp Fingerprint, now time.Time) uint32 {
	r.halve(now)
	return r.counts[recentBucket(fp)]
}

func recentBucket(fp Fingerprint) uint64 { return binary.LittleEndian.Uint64(fp[:8]) % recentBuckets }

// halve halves the counts once for each recentHalving that has passed.
func (r *recentRuns) halve(now time.Time) {
	if r.halvedAt.IsZero() {
		r.halvedAt = now
	}
	times := now.Sub(r.halvedAt) / recentHalving
	if times <= 0 {
		return
	}
	r.halvedAt = r.halvedAt.Add(times * recentHalving)
	for i := range r.counts {
		r.counts[i] >>= min(times, 31)
	}
}
