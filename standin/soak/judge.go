package soak

import (
	"fmt"
	"sync"
	"time"
)

// judge keeps what targets and callers have seen, and the promises that were broken.
// It implements the observer of the stand-in targets.
type judge struct {
	mu     sync.Mutex
	broken []string
	// holds are the ranges that targets hold, by target.
	holds map[string][]held
	// fences is the highest token by which each part of the keys was granted.
	fences [keyParts]fenced
	// runs counts the runs of each request.
	runs map[string]int
	// refused are the at-most-once requests that were said not to have run.
	refused map[string]string
	// thawedAt is when a process last woke: its orders may be late by thawSlack.
	thawedAt time.Time
	// gone maps targets that leave to the instant at which the store took the notice.
	gone map[string]time.Time
	// own counts the soak's own requests.
	own int
}

type held struct {
	from, to uint16
	until    time.Time
}

type fenced struct {
	target string
	fence  uint64
}

const (
	// keyParts is the number of parts of the key space whose tokens are followed.
	keyParts = 256
	// thawSlack is how late after its thaw a process may send an order.
	thawSlack = 300 * time.Millisecond
)

func newJudge() *judge {
	return &judge{holds: map[string][]held{}, runs: map[string]int{}, refused: map[string]string{}, gone: map[string]time.Time{}}
}

func (j *judge) breaks(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breaksLocked(format, args...)
}

func (j *judge) breaksLocked(format string, args ...any) {
	j.broken = append(j.broken, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// Ran implements platform.Observer.
func (j *judge) Ran(target, id string, key uint16) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[id]++
	if isOnce(id) && j.runs[id] > 1 {
		j.breaksLocked("at most once: %s ran again at %s", id, target)
	}
	if _, keyed := j.holds[target]; !keyed || time.Since(j.thawedAt) < thawSlack {
		return
	}
	for other, ranges := range j.holds {
		if other == target {
			continue
		}
		for _, h := range ranges {
			if h.from <= key && key <= h.to && time.Now().Before(h.until) {
				j.breaksLocked("one owner: %s ran %s for key %d that %s holds for %s", target, id, key, other, time.Until(h.until))
			}
		}
	}
}

// Granted implements platform.Observer.
func (j *judge) Granted(target string, from, to uint16, fence uint64, until time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.cutLocked(target, from, to)
	j.holds[target] = append(j.holds[target], held{from, to, until})
	for part := int(from) * keyParts >> 16; part <= int(to)*keyParts>>16; part++ {
		if first := uint16(part << 16 / keyParts); first < from || first > to {
			continue // The part's first key stands for it.
		}
		f := &j.fences[part]
		if f.target != target && fence <= f.fence {
			j.breaksLocked("rising tokens: %s took part %d with %d after %s had %d", target, part, fence, f.target, f.fence)
		}
		if fence >= f.fence {
			*f = fenced{target, fence}
		}
	}
}

// Released implements platform.Observer.
func (j *judge) Released(target string, from, to uint16) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.cutLocked(target, from, to)
}

// cutLocked takes the keys out of what the target holds.
func (j *judge) cutLocked(target string, from, to uint16) {
	var kept []held
	for _, h := range j.holds[target] {
		if h.to < from || to < h.from {
			kept = append(kept, h)
			continue
		}
		if h.from < from {
			kept = append(kept, held{h.from, from - 1, h.until})
		}
		if h.to > to {
			kept = append(kept, held{to + 1, h.to, h.until})
		}
	}
	j.holds[target] = kept
}

// restarted forgets what an earlier life of the target held.
func (j *judge) restarted(target string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, keyed := j.holds[target]; keyed {
		j.holds[target] = nil
	}
}

func (j *judge) thawed() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.thawedAt = time.Now()
}

// leaves notes that the store has taken a target's notice, or that it is back.
func (j *judge) leaves(target string, leaving bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.gone, target)
	if leaving {
		j.gone[target] = time.Now()
	}
}

// leftAt returns when the store took the target's notice.
func (j *judge) leftAt(target string) (time.Time, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	at, ok := j.gone[target]
	return at, ok
}

// said notes that an at-most-once request was refused as not run.
func (j *judge) said(id, answer string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.refused[id] = answer
}

// nextID numbers the soak's own requests.
func (j *judge) nextID() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.own++
	return j.own
}

func (j *judge) ran(id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.runs[id] > 0
}

// verdict checks what can only be told at the end, and returns what was broken.
func (j *judge) verdict() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	for id, answer := range j.refused {
		if j.runs[id] > 0 {
			j.breaksLocked("truthful refusals: %s ran, and was answered %s", id, answer)
		}
	}
	return j.broken
}
