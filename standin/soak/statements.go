package soak

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

const (
	// meanStatementGap is the mean pause between the starts of two statements of targets.
	meanStatementGap = 2 * time.Second
	// limitWindow is the time over which requests to a target with a limit are counted, from
	// limitContact after it first named the limit. limitToldAfter is when a node that has passed on
	// the limit must keep to it.
	limitWindow    = 4 * time.Second
	limitContact   = 3 * time.Second
	limitToldAfter = 500 * time.Millisecond
	// limitFactor and limitExtra bound the requests in a limitWindow.
	limitFactor = 1.5
	limitExtra  = 5
	// pauseBegin is when a node that was refused with Retry-After must have stopped sending, but for
	// maxInPause requests.
	pauseBegin = 500 * time.Millisecond
	maxInPause = 2
	// passOnTime is how long a node may take to pass an answer on.
	passOnTime = 100 * time.Millisecond
)

// statements is what a target states in its answers, and what each node has been told.
type statements struct {
	leaving bool
	// limit is in requests a second; zero if the target names none.
	limit      float64
	limitSince time.Time
	pause      time.Duration
	told       map[*node]*toldNode
}

// toldNode is what a node was told first, and what it has sent since. A node that was started again
// knows nothing of it.
type toldNode struct {
	startedAt          time.Time
	leavingAt, limitAt time.Time
	// pausedAt is when the node was last refused with Retry-After.
	pausedAt time.Time
	inPause  int
	// sent has the instants of its requests while the target names a limit.
	sent []time.Time
}

// stated returns the statements of the target. s.mu must be held.
func (s *soak) statedLocked(target string) *statements {
	st := s.stated[target]
	if st == nil {
		st = &statements{told: map[*node]*toldNode{}}
		s.stated[target] = st
	}
	return st
}

func (st *statements) toldTo(n *node) *toldNode {
	t, started := st.told[n], n.started()
	if t == nil || t.startedAt != started {
		t = &toldNode{startedAt: started}
		st.told[n] = t
	}
	return t
}

// runStatements lets random targets state that they leave, name a limit or ask for pauses, for
// Options.Length. It draws from a source of its own, so that the disturbances of a seed stay the
// same. busy has a lock for each target.
func (s *soak) runStatements(ctx context.Context, seed uint64, busy map[int]*sync.Mutex) {
	random := rand.New(rand.NewPCG(seed, 2))
	var running sync.WaitGroup
	defer running.Wait()
	for end := time.Now().Add(s.opts.Length); time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(meanStatementGap)))
		i, kind := random.IntN(len(s.targets)), random.IntN(3)
		length := limitWindow + time.Duration(random.Int64N(int64(maxDisturbance)))
		limit, pause := 1+20*random.Float64(), time.Duration(200+random.IntN(3000))*time.Millisecond
		running.Go(func() {
			busy[i].Lock()
			defer busy[i].Unlock()
			t := s.targets[i]
			switch kind {
			case 0:
				s.logf("target %s states that it leaves, for %v", t.id, length)
				s.state(t, statements{leaving: true}, map[string]string{"Server-Leaving": "1"}, length)
				s.restart(t, 0)
			case 1:
				s.logf("target %s names a limit of %.1f a second, for %v", t.id, limit, length)
				s.state(t, statements{limit: limit}, map[string]string{"Server-Limit": strconv.FormatFloat(limit, 'f', 1, 64)}, length)
			default:
				s.logf("target %s asks for pauses of %v, for %v", t.id, pause, length)
				t.handler.SetRefuse(true)
				s.state(t, statements{pause: pause}, map[string]string{"Retry-After": strconv.FormatFloat(pause.Seconds(), 'f', 3, 64)}, length)
				t.handler.SetRefuse(false)
			}
		})
	}
}

// state lets the target state something for the time.
func (s *soak) state(t *target, st statements, lines map[string]string, length time.Duration) {
	st.limitSince, st.told = time.Now(), map[*node]*toldNode{}
	s.mu.Lock()
	s.stated[t.id] = &st
	s.mu.Unlock()
	t.handler.SetStatements(lines)
	time.Sleep(length)
	t.handler.SetStatements(nil)
	s.forgetStatements(t.id)
}

// forgetStatements forgets what a target has stated, as when it ends or states nothing more.
func (s *soak) forgetStatements(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.stated, target)
}

// Answered implements platform.Observer. It records what the node was told.
func (s *soak) Answered(target, id string, refused bool) {
	n := s.nodeOf(id)
	if n == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.statedLocked(target)
	told, now := st.toldTo(n), time.Now()
	if st.leaving && told.leavingAt.IsZero() {
		told.leavingAt = now
	}
	if st.limit > 0 && told.limitAt.IsZero() {
		told.limitAt = now
	}
	if st.pause > 0 && refused {
		if now.After(told.pausedAt.Add(st.pause)) {
			told.inPause = 0
		}
		told.pausedAt = now
	}
}

// Arrived implements platform.Observer. It checks that the node keeps to what it was told.
func (s *soak) Arrived(target, id string) {
	n := s.nodeOf(id)
	if n == nil {
		return
	}
	sentAt := s.checker.sentAt(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.statedLocked(target)
	told, now := st.toldTo(n), time.Now()
	if at := told.leavingAt; !at.IsZero() && sentAt.After(at.Add(drainBound+passOnTime)) && n.undisturbedSince(at) {
		s.checker.reportBroken("stated leaving: %s got %s through %s, sent %v after it had told it that it leaves", target, id, n.name, sentAt.Sub(at))
	}
	if at := told.pausedAt; now.After(at.Add(pauseBegin)) && now.Before(at.Add(st.pause)) && n.undisturbedSince(at) {
		if told.inPause++; told.inPause > maxInPause {
			s.checker.reportBroken("pauses: %s got %s through %s, %v after it had asked it for a pause of %v", target, id, n.name, now.Sub(at), st.pause)
		}
	}
	if st.limit > 0 {
		told.sent = append(told.sent, now)
		s.checkLimitLocked(target, st, now)
	}
}

// checkLimitLocked counts the requests of the last limitWindow of all nodes that were told the
// limit. s.mu must be held.
func (s *soak) checkLimitLocked(target string, st *statements, now time.Time) {
	if now.Before(st.limitSince.Add(limitContact)) {
		return
	}
	count := 0
	for n, told := range st.told {
		if told.limitAt.IsZero() || !n.undisturbedSince(now.Add(-limitWindow-settleTime)) {
			continue
		}
		for _, at := range told.sent {
			if at.After(now.Add(-limitWindow)) && at.After(told.limitAt.Add(limitToldAfter)) && at.After(st.limitSince.Add(limitContact)) {
				count++
			}
		}
	}
	if allowed := limitFactor*st.limit*limitWindow.Seconds() + limitExtra; float64(count) > allowed {
		s.checker.reportBroken("limits: %s got %d requests in %v at a limit of %.1f a second; %.0f allowed", target, count, limitWindow, st.limit, allowed)
	}
}
