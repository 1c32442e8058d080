package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/basiltally/basiltally/standin/platform"
)

// disturbance is one kind of trouble. It returns when the trouble is over.
type disturbance struct {
	name string
	play func(w *world, r *dice)
}

// dice draws for one disturbance, so that concurrent ones do not share a source.
type dice struct {
	node, target, kind int
	length             time.Duration
}

const (
	// longestTrouble bounds a disturbance; meanGap is the mean pause between starts.
	longestTrouble = 4 * time.Second
	meanGap        = 900 * time.Millisecond
	// checkPause separates the looks at the nodes' configuration.
	checkPause = 250 * time.Millisecond
)

var disturbances = []disturbance{
	{"SIGTERM", func(w *world, r *dice) { w.stopNode(r) }},
	{"SIGKILL", func(w *world, r *dice) { w.nodes[r.node].signal(syscall.SIGKILL) }},
	{"all SIGKILL", func(w *world, _ *dice) {
		for _, n := range w.nodes {
			n.signal(syscall.SIGKILL)
		}
	}},
	{"freeze", func(w *world, r *dice) { w.freeze(r) }},
	{"SIGHUP", func(w *world, r *dice) { w.nodes[r.node].signal(syscall.SIGHUP) }},
	{"store link", func(w *world, r *dice) { w.storeLink(r) }},
	{"target link", func(w *world, r *dice) { w.targetLink(r) }},
	{"resets", func(w *world, r *dice) {
		w.disturbAll()
		w.targets[r.target].link.reset()
		w.nodes[r.node].disturb()
		w.storeLinks[r.node].reset()
	}},
	{"store", func(w *world, r *dice) { w.storeFault(r) }},
	{"compaction", func(w *world, _ *dice) {
		w.storeDisturbed()
		w.store.Compact()
	}},
	{"target restarts", func(w *world, r *dice) { w.restartTarget(r) }},
	{"target leaves", func(w *world, r *dice) { w.drainTarget(r) }},
	{"target loses answers", func(w *world, r *dice) {
		t := w.targets[r.target]
		h := t.handler
		h.SetLoseAnswers(true)
		time.Sleep(r.length)
		h.SetLoseAnswers(false)
	}},
	{"configuration", func(w *world, _ *dice) { w.putConfig() }},
	{"configurations", func(w *world, _ *dice) {
		for range 8 {
			w.putConfig()
			time.Sleep(100 * time.Millisecond)
		}
	}},
}

// disturb plays disturbances, which may overlap, and returns when all are over.
func (w *world) disturb(ctx context.Context) {
	var playing sync.WaitGroup
	defer playing.Wait()
	checking, stop := context.WithCancel(ctx)
	defer stop()
	go w.checkConfigs(checking)
	busy := map[int]*sync.Mutex{}
	for i := range w.targets {
		busy[i] = &sync.Mutex{}
	}
	for end := time.Now().Add(w.opts.Length); time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(time.Duration(w.rng.ExpFloat64() * float64(meanGap)))
		d := disturbances[w.rng.IntN(len(disturbances))]
		r := &dice{
			node: w.rng.IntN(len(w.nodes)), target: w.rng.IntN(len(w.targets)), kind: w.rng.IntN(1 << 10),
			length: time.Duration(w.rng.Int64N(int64(longestTrouble))),
		}
		w.logf("%s: node %d, target %s, %v", d.name, r.node, w.targets[r.target].id, r.length)
		playing.Go(func() {
			// One disturbance at a time for a target: they replace its server.
			busy[r.target].Lock()
			defer busy[r.target].Unlock()
			d.play(w, r)
		})
	}
}

func (w *world) checkConfigs(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(checkPause)
		w.checkConfig()
	}
}

// disturbAll notes a disturbance of the links of all nodes.
func (w *world) disturbAll() {
	for _, n := range w.nodes {
		n.disturb()
	}
}

// stopNode stops a node as planned work does; past the grace it is killed.
func (w *world) stopNode(r *dice) {
	n := w.nodes[r.node]
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	n.signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(grace):
		w.logf("%s has not ended within its grace", n.name)
		n.signal(syscall.SIGKILL)
	}
}

func (w *world) freeze(r *dice) {
	n := w.nodes[r.node]
	n.signal(syscall.SIGSTOP)
	time.Sleep(r.length)
	n.signal(syscall.SIGCONT)
	w.judge.thawed()
}

// storeLink disturbs one node's way to the store.
func (w *world) storeLink(r *dice) {
	fault := linkFault(1 + r.kind%int(linkFaults-1))
	w.logf("way of node %d to the store: %s", r.node, linkFaultNames[fault])
	n, link := w.nodes[r.node], w.storeLinks[r.node]
	n.disturb()
	link.set(fault)
	time.Sleep(r.length)
	link.set(linkPasses)
	link.reset()
	n.disturb()
	w.judge.thawed() // Orders and writes held up by the link may arrive late.
}

// targetLink disturbs the way to one target.
func (w *world) targetLink(r *dice) {
	fault := linkFault(1 + r.kind%int(linkFaults-1))
	t := w.targets[r.target]
	w.logf("way to target %s: %s", t.id, linkFaultNames[fault])
	w.disturbAll()
	t.link.set(fault)
	time.Sleep(r.length)
	t.link.set(linkPasses)
	t.link.reset()
	w.disturbAll()
	w.judge.thawed()
}

func (w *world) storeFault(r *dice) {
	fault := []platform.Fault{platform.Unavailable, platform.Hang, platform.LoseAnswers}[r.kind%3]
	w.storeDisturbed()
	w.store.SetFault(fault)
	time.Sleep(r.length)
	w.store.SetFault(platform.NoFault)
	w.storeDisturbed()
}

// restartTarget ends a target without notice; its next life has the same id.
func (w *world) restartTarget(r *dice) {
	t := w.targets[r.target]
	t.stop()
	time.Sleep(r.length)
	if err := w.startTarget(t); err != nil {
		w.judge.breaks("the soak itself: %v", err)
	}
}

// drainTarget lets a target give notice, serve on and come back.
func (w *world) drainTarget(r *dice) {
	t := w.targets[r.target]
	w.enter(t, "draining")
	time.Sleep(drainBound + r.length)
	w.enter(t, "ready")
}
