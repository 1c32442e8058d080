package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/standin/platform"
)

// disturbance is one kind of disturbance of the running system. Its run function
// returns when the disturbance is over.
type disturbance struct {
	name string
	run  func(s *soak, p *disturbanceParams)
}

// disturbanceParams are the random choices for one disturbance. They are drawn before
// it starts, so that concurrent disturbances do not share a random source.
type disturbanceParams struct {
	node, target, kind int
	length             time.Duration
}

const (
	// maxDisturbance bounds the drawn length of a disturbance.
	maxDisturbance = 4 * time.Second
	// meanDisturbanceGap is the mean pause between the starts of two disturbances.
	meanDisturbanceGap = 900 * time.Millisecond
	// minCopyAge is the least age of the copy from which the store comes back; maxDisturbance bounds what is added.
	minCopyAge = 500 * time.Millisecond
	// maxWrittenAgain bounds how long after a step back the operator and the targets write again what it has undone.
	maxWrittenAgain = 2 * time.Second
	// stepBackEvery is the mean number of disturbances in a seed with steps back of which one is a step back.
	stepBackEvery = 5
	// configCheckInterval is the pause between two checks of the nodes' configuration.
	configCheckInterval = 250 * time.Millisecond
)

var disturbances = []disturbance{
	{"SIGTERM", func(s *soak, p *disturbanceParams) { s.stopNode(s.nodes[p.node]) }},
	{"SIGKILL", func(s *soak, p *disturbanceParams) { s.nodes[p.node].signal(syscall.SIGKILL) }},
	{"all SIGKILL", func(s *soak, _ *disturbanceParams) {
		for _, n := range s.nodes {
			n.signal(syscall.SIGKILL)
		}
	}},
	{"freeze", func(s *soak, p *disturbanceParams) { s.freezeNode(p) }},
	{"SIGHUP", func(s *soak, p *disturbanceParams) { s.nodes[p.node].signal(syscall.SIGHUP) }},
	{"store link", func(s *soak, p *disturbanceParams) { s.disturbStoreLink(p) }},
	{"target link", func(s *soak, p *disturbanceParams) { s.disturbTargetLink(p) }},
	{"resets", func(s *soak, p *disturbanceParams) {
		s.noteAllDisturbed()
		s.targets[p.target].link.resetConns()
		s.nodes[p.node].noteContactLost()
		s.storeLinks[p.node].resetConns()
	}},
	{"store", func(s *soak, p *disturbanceParams) { s.applyStoreFault(p) }},
	{"compaction", func(s *soak, _ *disturbanceParams) {
		s.noteStoreDisturbed()
		s.store.Compact()
	}},
	{"target restarts", func(s *soak, p *disturbanceParams) { s.restartTarget(p) }},
	{"target leaves", func(s *soak, p *disturbanceParams) { s.drainTarget(p) }},
	{"target loses answers", func(s *soak, p *disturbanceParams) {
		t := s.targets[p.target]
		h := t.handler
		h.SetLoseAnswers(true)
		time.Sleep(p.length)
		h.SetLoseAnswers(false)
	}},
	{"configuration", func(s *soak, _ *disturbanceParams) { s.putConfig() }},
	{"configurations", func(s *soak, _ *disturbanceParams) {
		for range 8 {
			s.putConfig()
			time.Sleep(100 * time.Millisecond)
		}
	}},
}

// stepBack is drawn apart from the others, so that these stay the same for a seed.
var stepBack = disturbance{"step back", func(s *soak, p *disturbanceParams) { s.stepBack(p) }}

// allDisturbances returns all that can be chosen by Options.Only.
func allDisturbances() []disturbance {
	return slices.Concat(disturbances, []disturbance{stepBack}, holdFaults)
}

// Names of what also disturbs the system, from sources of its own.
const (
	statementsName      = "statements"
	crashingRequestName = "crashing request"
)

// checkNames returns an error if a name is not that of a disturbance.
func checkNames(names []string) error {
	known := []string{statementsName, crashingRequestName}
	for _, d := range allDisturbances() {
		known = append(known, d.name)
	}
	for _, name := range names {
		if !slices.Contains(known, name) {
			return errors.Errorf("there is no disturbance %q; there are: %s", name, strings.Join(known, ", "))
		}
	}
	return nil
}

// plays reports whether Options.Only admits the disturbance.
func (s *soak) plays(name string) bool {
	return len(s.opts.Only) == 0 || slices.Contains(s.opts.Only, name)
}

// drawn returns the disturbances of which each is drawn equally often: with Options.Only those, else disturbances.
func (s *soak) drawn() []disturbance {
	if len(s.opts.Only) == 0 {
		return disturbances
	}
	return slices.DeleteFunc(allDisturbances(), func(d disturbance) bool { return !s.plays(d.name) })
}

// runDisturbances starts random disturbances, which may overlap, for Options.Length, and
// returns when all are over.
func (s *soak) runDisturbances(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	checking, stop := context.WithCancel(ctx)
	defer stop()
	go s.checkConfigs(checking)
	busy := map[int]*sync.Mutex{}
	for i := range s.targets {
		busy[i] = &sync.Mutex{}
	}
	if s.plays(statementsName) {
		running.Go(func() { s.runStatements(ctx, s.seed, busy) })
	}
	if s.hasHoldFaults() {
		running.Go(func() { s.runHoldFaults(ctx) })
	}
	if s.hard != nil {
		s.hard.busy = busy
		running.Go(func() { s.hard.run(ctx) })
		go s.hard.refreshEntries(ctx)
	}
	if s.seed%2 == 0 && s.plays(crashingRequestName) {
		crashing := &crashingRequest{soak: s, busy: busy, rng: rand.New(rand.NewPCG(s.seed, 3))}
		s.crashing.Store(crashing)
		sending, stopSending := context.WithCancel(ctx)
		running.Go(func() { crashing.run(sending) })
		defer stopSending()
	}
	// A third of the seeds has steps back, none of those kept from before.
	drawn, stepsBack := s.drawn(), len(s.opts.Only) == 0 && s.seed%3 == 1
	steps := rand.New(rand.NewPCG(s.seed, 5))
	for end := time.Now().Add(s.opts.Length); len(drawn) > 0 && time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(time.Duration(s.rng.ExpFloat64() * float64(meanDisturbanceGap)))
		d := drawn[s.rng.IntN(len(drawn))]
		if stepsBack && steps.IntN(stepBackEvery) == 0 {
			d = stepBack
		}
		p := &disturbanceParams{
			node: s.rng.IntN(len(s.nodes)), target: s.rng.IntN(len(s.targets)), kind: s.rng.IntN(1 << 10),
			length: time.Duration(s.rng.Int64N(int64(maxDisturbance))),
		}
		s.logf("%s: node %d, target %s, %v", d.name, p.node, s.targets[p.target].id, p.length)
		running.Go(func() {
			// Only one disturbance at a time runs for a drawn target, since some of
			// them replace the target's server.
			busy[p.target].Lock()
			defer busy[p.target].Unlock()
			d.run(s, p)
		})
	}
}

func (s *soak) checkConfigs(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(configCheckInterval)
		s.checkConfig()
	}
}

// noteAllDisturbed records a disturbance of the links of all nodes.
func (s *soak) noteAllDisturbed() {
	for _, n := range s.nodes {
		n.noteDisturbed()
	}
}

// stopNode stops a node by SIGTERM, as planned maintenance does. It sends SIGKILL if the
// process has not ended after stopGrace.
func (s *soak) stopNode(n *node) {
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	n.signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(stopGrace):
		s.logf("%s has not ended within the time allowed for a planned stop; sending SIGKILL", n.name)
		n.signal(syscall.SIGKILL)
	}
}

func (s *soak) freezeNode(p *disturbanceParams) {
	n := s.nodes[p.node]
	n.signal(syscall.SIGSTOP)
	time.Sleep(p.length)
	n.signal(syscall.SIGCONT)
	s.checker.noteLateCalls()
}

// disturbStoreLink applies a fault to one node's link to the store.
func (s *soak) disturbStoreLink(p *disturbanceParams) {
	fault := linkFault(1 + p.kind%int(linkFaultCount-1))
	s.logf("link of node %d to the store: %s", p.node, linkFaultNames[fault])
	n, link := s.nodes[p.node], s.storeLinks[p.node]
	n.noteContactLost()
	link.setFault(fault)
	time.Sleep(p.length)
	link.setFault(linkHealthy)
	link.resetConns()
	n.noteContactLost()
	s.checker.noteLateCalls() // Grants, releases and writes delayed by the link may arrive late.
}

// disturbTargetLink applies a fault to the link to one target.
func (s *soak) disturbTargetLink(p *disturbanceParams) {
	fault := linkFault(1 + p.kind%int(linkFaultCount-1))
	t := s.targets[p.target]
	s.logf("link to target %s: %s", t.id, linkFaultNames[fault])
	s.noteAllDisturbed()
	s.hard.noteLink(t)
	t.link.setFault(fault)
	time.Sleep(p.length)
	s.hard.noteLink(t)
	t.link.setFault(linkHealthy)
	t.link.resetConns()
	s.noteAllDisturbed()
	s.checker.noteLateCalls()
}

func (s *soak) applyStoreFault(p *disturbanceParams) {
	fault := []platform.Fault{platform.Unavailable, platform.Hang, platform.LoseAnswers}[p.kind%3]
	if p.kind/3%4 == 3 {
		fault = platform.Swallow
	}
	s.noteStoreDisturbed()
	s.hard.noteStoreFault(1)
	s.store.SetFault(fault)
	time.Sleep(p.length)
	s.store.SetFault(platform.NoFault)
	s.noteStoreDisturbed()
	s.hard.noteStoreFault(-1)
}

// stepBack makes the store refuse calls or not answer them, and come back from an older copy. The operator and the targets
// write again what they had written since; the outage lasts until then. Steps back may overlap, so that the copy may be from
// before another one.
func (s *soak) stepBack(p *disturbanceParams) {
	older := s.store.Copy()
	time.Sleep(minCopyAge + p.length)
	away := time.Duration(p.kind%8) * 100 * time.Millisecond
	fault := []platform.Fault{platform.Reset, platform.Unavailable, platform.Hang, platform.Swallow}[p.kind/8%4]
	within := maxWrittenAgain * time.Duration(p.kind/32) / 31
	s.noteStoreDisturbed()
	s.hard.noteStoreFault(1)
	s.store.SetFault(fault)
	time.Sleep(away)
	s.store.StepBack(older, within, rand.New(rand.NewPCG(s.seed, uint64(5000+p.kind))))
	s.store.SetFault(platform.NoFault)
	s.noteStoreDisturbed()
	s.logf("step back by %v, after %v away (%v), written again within %v", minCopyAge+p.length+away, away, fault, within)
	time.Sleep(within)
	s.noteStoreDisturbed()
	s.hard.noteStoreFault(-1)
}

// restartTarget stops a target without a leaving notice and starts it again under the
// same id.
func (s *soak) restartTarget(p *disturbanceParams) { s.restart(s.targets[p.target], p.length) }

// restart stops the target for the time and starts it as a new incarnation.
func (s *soak) restart(t *target, pause time.Duration) {
	t.stop()
	time.Sleep(pause)
	if err := s.startTarget(t); err != nil {
		s.checker.reportBroken("the soak itself: cannot restart a target: %v", err)
	}
}

// drainTarget announces that a target is leaving, lets it serve on for drainBound and the
// drawn length, and starts it again. An incarnation that leaves does not become ready again.
func (s *soak) drainTarget(p *disturbanceParams) {
	t := s.targets[p.target]
	s.putEntry(t, "draining")
	time.Sleep(drainBound + p.length)
	s.restart(t, 0)
}
