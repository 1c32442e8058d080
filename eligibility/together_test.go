package eligibility_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/eligibility"
	"github.com/basiltally/basiltally/fleet"
)

const (
	// toldAfter is the time after it has passed on an answer that names a limit from which a VM's requests count.
	toldAfter = 500 * time.Millisecond
	// relayInterval is the time between two lists of what all VMs were told, while there is an assigner.
	relayInterval = 5 * time.Second
	// countHold is how long a higher number of VMs holds after a lower one was received.
	countHold = 10 * time.Second
)

// together is a number of VMs that send to one target, which counts the requests of those that it has told its limit.
type together struct {
	now    time.Time
	random *rand.Rand
	target fleet.Incarnation
	vms    []*togetherVM
	// all has the names of the VMs that the assigner lists.
	all    []string
	joined int
	// limit is in requests a second, zero for none, since limitSince. countFrom is when the rule begins to count.
	limit                 float64
	limitSince, countFrom time.Time
	answers               []togetherAnswer
	relays                []togetherRelay
	relayedAt             time.Time
	assigner              bool
	// counted has the instants of the requests that count.
	counted []time.Time
	// refused is the number of requests that were not sent.
	refused int
}

type togetherVM struct {
	name    string
	tracker *eligibility.Tracker
	// toldAt is when it first passed on an answer with the limit in force; zero if it has not.
	toldAt time.Time
	// most is the highest number of VMs that it was told, and lowAt is when it was first told less.
	most  int
	lowAt time.Time
}

type togetherAnswer struct {
	at, sentAt time.Time
	vm         *togetherVM
	limit      float64
}

type togetherRelay struct {
	at, from   time.Time
	statements []eligibility.Statement
}

func newTogether(count int, seed uint64) *together {
	g := &together{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 9)), target: fleet.Incarnation{ID: "t", Born: 1}, assigner: true}
	for range count {
		g.join()
	}
	g.list(g.all)
	return g
}

func (g *together) clock() time.Time { return g.now }

// join adds a VM that does not know the others yet.
func (g *together) join() {
	vm := &togetherVM{name: fmt.Sprint("vm", g.joined)}
	vm.tracker = eligibility.New(eligibility.Options{Directory: fleet.NewDirectory(fleet.DirectoryOptions{}), VM: vm.name, Now: g.clock})
	g.joined++
	g.vms, g.all = append(g.vms, vm), append(g.all, vm.name)
}

// lose removes a VM that the assigner still lists until the next list.
func (g *together) lose() {
	i := g.random.IntN(len(g.vms))
	g.all = slices.DeleteFunc(slices.Clone(g.all), func(name string) bool { return name == g.vms[i].name })
	g.vms = slices.Delete(g.vms, i, i+1)
}

// list gives all listed VMs the list.
func (g *together) list(names []string) {
	for _, vm := range g.vms {
		if slices.Contains(names, vm.name) {
			vm.setVMs(names, g.now)
		}
	}
}

// setVMs keeps a higher number for countHold, as the daemon does.
func (v *togetherVM) setVMs(names []string, now time.Time) {
	switch {
	case len(names) >= v.most:
		v.most, v.lowAt = len(names), time.Time{}
	case v.lowAt.IsZero():
		v.lowAt = now
	case now.Sub(v.lowAt) >= countHold:
		v.most, v.lowAt = len(names), time.Time{}
	}
	v.tracker.SetVMs(names, v.most)
}

// name has the target name another limit, or none.
func (g *together) name(perSecond float64) {
	if g.limit == 0 && perSecond > 0 {
		g.countFrom = g.now.Add(contact)
	}
	g.limit, g.limitSince, g.counted = perSecond, g.now, nil
	for _, vm := range g.vms {
		vm.toldAt = time.Time{}
	}
}

// run lets the VMs send for the duration. In each step each VM has some requests with the given probability.
func (g *together) run(d time.Duration, demand int, probability float64) error {
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(step) {
		g.answer()
		g.relay()
		for _, vm := range g.vms {
			if g.random.Float64() >= probability {
				continue
			}
			for range demand {
				if vm.tracker.Take(g.target).OK() {
					g.send(vm)
				} else {
					g.refused++
				}
			}
		}
		if err := g.check(); err != nil {
			return err
		}
	}
	return nil
}

func (g *together) send(vm *togetherVM) {
	at := g.now.Add(time.Duration(40+g.random.IntN(160)) * time.Millisecond)
	g.answers = append(g.answers, togetherAnswer{at: at, sentAt: g.now, vm: vm, limit: g.limit})
	if !vm.toldAt.IsZero() && g.now.Sub(vm.toldAt) >= toldAfter && !g.now.Before(g.countFrom) {
		g.counted = append(g.counted, g.now)
	}
}

// check returns an error if the requests of the last window are too many.
func (g *together) check() error {
	for len(g.counted) > 0 && g.now.Sub(g.counted[0]) >= window {
		g.counted = g.counted[1:]
	}
	if allowed := 1.5*g.limit*window.Seconds() + 5; g.limit > 0 && float64(len(g.counted)) > allowed {
		return fmt.Errorf("%d requests in %v, %v after the limit %v was named to %d VMs; %v allowed",
			len(g.counted), window, g.now.Sub(g.limitSince), g.limit, len(g.vms), allowed)
	}
	return nil
}

// answer passes on the answers that are due.
func (g *together) answer() {
	g.answers = slices.DeleteFunc(g.answers, func(a togetherAnswer) bool {
		if a.at.After(g.now) {
			return false
		}
		a.vm.tracker.Observe(eligibility.Statement{Incarnation: g.target, LimitPerSecond: a.limit}, "r")
		if a.limit > 0 && a.limit == g.limit && a.vm.toldAt.IsZero() {
			a.vm.toldAt = g.now
		}
		return true
	})
}

// relay lets the assigner pass on what the VMs were told: some 100 ms late, changes and each relayInterval.
func (g *together) relay() {
	var latest []eligibility.Statement
	for _, vm := range g.vms {
		for _, s := range vm.tracker.TakeStatements() {
			if len(latest) == 0 || s.Age < latest[0].Age {
				latest = []eligibility.Statement{s}
			}
		}
	}
	if len(latest) > 0 && g.assigner && (g.now.Sub(g.relayedAt) >= relayInterval || g.now.Sub(g.limitSince) < relayInterval) {
		g.relayedAt = g.now
		g.relays = append(g.relays, togetherRelay{at: g.now.Add(100 * time.Millisecond), from: g.now, statements: latest})
	}
	for len(g.relays) > 0 && !g.relays[0].at.After(g.now) {
		for _, vm := range g.vms {
			s := g.relays[0].statements[0]
			s.Age += g.now.Sub(g.relays[0].from)
			vm.tracker.Merge([]eligibility.Statement{s})
		}
		g.relays = g.relays[1:]
	}
}

// VMs learn the limit from answers and from each other, which fails for a while; VMs join and are lost, and lists of VMs lack some.
func TestAllVMsTogetherKeepTheLimit(t *testing.T) {
	counts, seeds := []int{1, 9, 71, 295}, uint64(3)
	if testing.Short() {
		counts, seeds = counts[:3], 1
	}
	for _, count := range counts {
		for _, perSecond := range []float64{0.4, 1, 2.5, 40, 200} {
			for seed := range seeds {
				t.Run(fmt.Sprintf("%d VMs, %v a second, seed %d", count, perSecond, seed), func(t *testing.T) {
					t.Parallel()
					playTogether(t, count, perSecond, seed)
				})
			}
		}
	}
}

func playTogether(t *testing.T, count int, perSecond float64, seed uint64) {
	is := is.New(t)
	g := newTogether(count, seed)
	demand, probability := 1+g.random.IntN(3), 0.05+0.5*g.random.Float64()
	run := func(d time.Duration) { is.NoErr(g.run(d, demand, probability)) }
	run(time.Second)
	g.name(perSecond)
	run(10 * time.Second)
	for range 1 + count/4 { // They know no VMs until the next list.
		g.join()
	}
	run(time.Second)
	g.list(g.all)
	run(5 * time.Second)
	g.assigner = false
	run(25 * time.Second)
	g.assigner = true
	for range 1 + count/10 {
		g.join()
	}
	for range 10 { // A new assigner lists the VMs that have connected to it.
		g.random.Shuffle(len(g.all), func(i, j int) { g.all[i], g.all[j] = g.all[j], g.all[i] })
		g.list(g.all[:1+g.random.IntN(len(g.all))])
		run(500 * time.Millisecond)
	}
	g.list(g.all)
	run(2 * time.Second)
	for range count / 3 {
		g.lose()
	}
	g.list(g.all)
	run(countHold + window)
	g.list(g.all)
	run(2 * window)
	g.name(perSecond / 2)
	run(2 * window)
	g.name(perSecond)
	run(2 * window)
	g.name(0)
	run(2 * window)
	g.refused = 0
	run(window)
	is.Equal(g.refused, 0) // The limit has ended.
}

// A new assigner lists the VMs that have connected to it so far. The ranks in such lists differ from VM to VM, so that more VMs would
// count themselves among those that share a limit.
func TestLimitHoldsWhileListsLackVMs(t *testing.T) {
	for _, perSecond := range []float64{2.5, 40} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			is := is.New(t)
			g := newTogether(295, 1)
			g.name(perSecond)
			is.NoErr(g.run(5*time.Second, 1, 1))
			for range 16 {
				g.random.Shuffle(len(g.all), func(i, j int) { g.all[i], g.all[j] = g.all[j], g.all[i] })
				g.list(g.all[:1+g.random.IntN(len(g.all))])
				is.NoErr(g.run(500*time.Millisecond, 1, 1))
			}
		})
	}
}
