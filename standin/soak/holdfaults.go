package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/basiltally/basiltally/standin/platform"
)

const (
	// meanHoldFaultGap is the mean pause between the starts of two hold faults.
	meanHoldFaultGap = 2 * time.Second
	// minLongWork and maxLongWork bound how long requests run that run long. A release waits for 2 s at most.
	minLongWork, maxLongWork = 500 * time.Millisecond, 3500 * time.Millisecond
	// longWorkEvery is the number of requests of which one runs long.
	longWorkEvery = 4
	// extraAnswerEvery is the mean number of orders of which one is answered twice, and maxExtraPause bounds the pause between
	// its answers.
	extraAnswerEvery = 3
	maxExtraPause    = 1500 * time.Millisecond
	// minOutage is the least length of an outage of the store after which targets are cut off; maxDisturbance / 2 bounds what is
	// added. cutAfterLoss is the least pause from the loss of the assigner to the cut, which lasts for cutLength.
	minOutage    = 3 * time.Second
	cutAfterLoss = time.Second
	cutLength    = 6 * time.Second
)

// holdFaults are what can break the rules on the keys that targets hold. They are drawn apart from the others, so that these
// stay the same for a seed.
var holdFaults = []disturbance{
	{"long work", func(s *soak, p *disturbanceParams) { s.playLongWork(p) }},
	{"extra answers", func(s *soak, p *disturbanceParams) { s.playExtraAnswers(p) }},
	{"cut after outage", func(s *soak, p *disturbanceParams) { s.playCutAfterOutage(p) }},
}

// hasHoldFaults reports whether the seed has hold faults beside the other disturbances: a quarter has, none of those kept from
// before.
func (s *soak) hasHoldFaults() bool { return len(s.opts.Only) == 0 && s.seed%4 == 3 }

// runHoldFaults starts random hold faults for Options.Length and returns when all are over.
func (s *soak) runHoldFaults(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.seed, 6))
	var running sync.WaitGroup
	defer running.Wait()
	for end := time.Now().Add(s.opts.Length); time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(meanHoldFaultGap)))
		d := holdFaults[rng.IntN(len(holdFaults))]
		p := &disturbanceParams{kind: rng.IntN(1 << 10), length: time.Duration(rng.Int64N(int64(maxDisturbance)))}
		s.logf("%s: %v", d.name, p.length)
		running.Go(func() { d.run(s, p) })
	}
}

// targetFaults are the faults in force at all targets with keys, also at those that start meanwhile.
type targetFaults struct {
	mu sync.Mutex
	// long and extra are the numbers of faults in force. Of several, the last one counts.
	long, extra  int
	work         time.Duration
	extraAnswers func() (time.Duration, bool)
}

// applyFaults applies the faults in force to a target with keys.
func (s *soak) applyFaults(t *target) {
	f := &s.faults
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.service != keyed {
		return
	}
	h := t.current()
	if f.long > 0 {
		h.SetLongWork(longWorkEvery, f.work)
	} else {
		h.SetLongWork(0, 0)
	}
	if f.extra > 0 {
		h.SetExtraAnswers(f.extraAnswers)
	} else {
		h.SetExtraAnswers(nil)
	}
}

// changeFaults changes the faults in force and applies them.
func (s *soak) changeFaults(change func(f *targetFaults)) {
	s.faults.mu.Lock()
	change(&s.faults)
	s.faults.mu.Unlock()
	for _, t := range s.targets {
		s.applyFaults(t)
	}
}

// playLongWork lets some requests at the targets with keys run long, some longer than a release waits.
func (s *soak) playLongWork(p *disturbanceParams) {
	work := minLongWork + (maxLongWork-minLongWork)*time.Duration(p.kind)/(1<<10)
	s.logf("every %d. request runs for %v", longWorkEvery, work)
	s.changeFaults(func(f *targetFaults) { f.long, f.work = f.long+1, work })
	time.Sleep(maxDisturbance + p.length)
	s.changeFaults(func(f *targetFaults) { f.long-- })
}

// playExtraAnswers lets the targets with keys answer some orders twice, half of them late.
func (s *soak) playExtraAnswers(p *disturbanceParams) {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(s.seed, uint64(7000+p.kind)))
	draw := func() (time.Duration, bool) {
		mu.Lock()
		defer mu.Unlock()
		extra, late := rng.IntN(extraAnswerEvery) == 0, rng.IntN(2) == 0
		pause := time.Duration(rng.Int64N(int64(maxExtraPause)))
		if !late {
			pause = 0
		}
		return pause, extra
	}
	s.changeFaults(func(f *targetFaults) { f.extra, f.extraAnswers = f.extra+1, draw })
	time.Sleep(maxDisturbance + p.length)
	s.changeFaults(func(f *targetFaults) { f.extra-- })
}

// playCutAfterOutage plays an outage of the store, the loss of the assigner's VM right after it, by SIGTERM or SIGKILL, and then
// half of the targets with keys that do not answer for some seconds. While one is played, others are left out.
func (s *soak) playCutAfterOutage(p *disturbanceParams) {
	if !s.cutting.TryLock() {
		return
	}
	defer s.cutting.Unlock()
	choice := p.kind
	draw := func(n int) int {
		drawn := choice % n
		choice /= n
		return drawn
	}
	fault := []platform.Fault{platform.Hang, platform.Unavailable}[draw(2)]
	kill := draw(2) == 1
	hang, first := draw(2) == 0, draw(2)
	pause := cutAfterLoss + time.Duration(draw(16))*100*time.Millisecond
	s.noteStoreDisturbed()
	s.hard.noteStoreFault(1)
	s.store.SetFault(fault)
	time.Sleep(minOutage + p.length/2)
	s.store.SetFault(platform.NoFault)
	s.noteStoreDisturbed()
	s.hard.noteStoreFault(-1)
	time.Sleep(100 * time.Millisecond)
	var cutting sync.WaitGroup
	if n := s.assigner(); n != nil {
		s.logf("loss of the assigner's VM %s after an outage (%v) of %v, by SIGKILL: %v", n.name, fault, minOutage+p.length/2, kill)
		if kill {
			n.signal(syscall.SIGKILL)
		} else {
			cutting.Go(func() { s.stopNode(n) })
		}
	}
	time.Sleep(pause)
	for _, t := range s.targets {
		if t.service == keyed && t.number%2 == first {
			cutting.Go(func() { s.cutOff(t, hang) })
		}
	}
	cutting.Wait()
}

// cutOff makes a target not answer for cutLength: it hangs, or its link drops what is sent to it.
func (s *soak) cutOff(t *target, hang bool) {
	s.logf("target %s does not answer for %v, hangs: %v", t.id, cutLength, hang)
	if hang {
		h := t.current()
		h.SetHang(true)
		time.Sleep(cutLength)
		h.SetHang(false)
		return
	}
	s.noteAllDisturbed()
	s.hard.noteLink(t)
	t.link.setFault(linkDropRequests)
	time.Sleep(cutLength)
	s.hard.noteLink(t)
	t.link.setFault(linkHealthy)
	t.link.resetConns()
	s.noteAllDisturbed()
	s.checker.noteLateCalls()
}

// assigner returns the node that has the assigner's role, or nil if none has.
func (s *soak) assigner() *node {
	var role struct {
		VM string `json:"vm"`
	}
	// Without a role, or with one that cannot be decoded, no node has that name.
	_ = json.Unmarshal(s.store.Spec("basiltally-roles", "assigner"), &role)
	for _, n := range s.nodes {
		if n.name == role.VM {
			return n
		}
	}
	return nil
}
