package experiment

import (
	"context"
	"fmt"
	"math/rand"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basiltally/basiltally/result"
)

const (
	// serviceTime is the time that a short request runs.
	serviceTime = 20 * time.Millisecond
	// permitInterval is the time between two divisions of permits.
	permitInterval = 250 * time.Millisecond
	// readLimit and onceLimit are the latencies up to which an answer is good.
	readLimit = 250 * time.Millisecond
	onceLimit = time.Second
)

// Row is one line of a table: a deployment under a policy.
type Row struct {
	Deployment string
	Policy     Policy
	// Values run parallel to Table.Columns.
	Values []string
}

// Table is the result of one scenario.
type Table struct {
	Name, Setting string
	Columns       []string
	Rows          []Row
}

// Scenario measures deployments under policies.
type Scenario struct {
	Name, Setting string
	Columns       []string
	Policies      []Policy
	run           func(w *world, l *load) []string
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	both := []Policy{Baseline, Gates}
	return []Scenario{
		{
			"balance", "Filings at 60% of the targets' capacity for 5 s.",
			[]string{"imbalance (max/mean)", "p50", "p99", "answered"},
			[]Policy{Baseline, Gates, Direct, Permits, Home},
			runBalance,
		},
		{
			"swing", "Reads at 50% of capacity; from 2 s on 5 times as many within 2 s, until 7 s; then 50% until 10 s.",
			[]string{"good at crest, of capacity", "p99 at crest", "p99 of refusals", "recovery after crest"},
			[]Policy{Baseline, Gates, Direct, Permits, Home},
			runSwing,
		},
		{
			"short beside long", "Reads at 30% of capacity beside drawing packs at 130% of theirs, for 8 s.",
			[]string{"p50 of reads", "p99 of reads", "good reads", "packs whole"},
			both, runMixed,
		},
		{
			"target loss", "Filings at 90% of capacity; at 2 s two targets are lost, at 6 s they are back.",
			[]string{"attempts per filing in the loss", "runs twice", "told not run but ran", "good filings in the loss", "recovery after the return"},
			both, runLoss,
		},
		{
			"owner loss", "Reads at 40% of capacity; at 2 s one owner is lost, its keys move at 3.5 s.",
			[]string{"attempts per read in the loss", "good reads in the loss", "recovery after the move"},
			both, runOwnerLoss,
		},
	}
}

// Run measures the scenario in the virtual time of synctest, which needs a test.
func (s Scenario) Run(t *testing.T, seed int64) Table {
	table := Table{Name: s.Name, Setting: s.Setting, Columns: s.Columns}
	for _, d := range Deployments() {
		for _, p := range s.Policies {
			synctest.Test(t, func(*testing.T) {
				table.Rows = append(table.Rows, Row{d.Name, p, s.measure(d, p, seed)})
			})
		}
	}
	return table
}

func (s Scenario) measure(d Deployment, p Policy, seed int64) []string {
	w := newWorld(d, p, serviceTime)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if p == Permits {
		go w.keepDividing(ctx)
	}
	values := s.run(w, &load{world: w, random: rand.New(rand.NewSource(seed))})
	w.close()
	return values
}

func (w *world) keepDividing(ctx context.Context) {
	tick := time.NewTicker(permitInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			w.dividePermits()
		case <-ctx.Done():
			return
		}
	}
}

// close ends all connections, so that nothing runs on in the bubble.
func (w *world) close() {
	for _, t := range w.targets {
		t.kill()
	}
	time.Sleep(time.Second)
}

// capacity returns the requests per second that a pool can run.
func (w *world) capacity(pool string) float64 {
	slots := 6 * float64(len(w.pools[pool]))
	if pool == poolBulk {
		return slots / (packPause * packChunks).Seconds()
	}
	return slots / w.service.Seconds()
}

func (w *world) steady(pool string, share float64) stream {
	rate := w.capacity(pool) * share
	return stream{pool, func(time.Duration) float64 { return rate }}
}

func runBalance(w *world, l *load) []string {
	samples := l.run(5*time.Second, w.steady(poolOnce, 0.6))
	most, total := 0, 0
	for _, t := range w.pools[poolOnce] {
		most = max(most, t.runs)
		total += t.runs
	}
	mean := float64(total) / float64(len(w.pools[poolOnce]))
	return []string{
		fmt.Sprintf("%.3f", float64(most)/mean),
		ms(percentile(samples, 0.5)),
		ms(percentile(samples, 0.99)),
		percent(goodput(samples, onceLimit)),
	}
}

func runSwing(w *world, l *load) []string {
	capacity := w.capacity(poolReads)
	rate := func(at time.Duration) float64 {
		switch {
		case at < 2*time.Second || at >= 7*time.Second:
			return capacity * 0.5
		case at < 4*time.Second:
			return capacity * (0.5 + 2*(at.Seconds()-2)/2)
		default:
			return capacity * 2.5
		}
	}
	samples := l.run(10*time.Second, stream{poolReads, rate})
	crest := window(samples, poolReads, 4*time.Second, 7*time.Second)
	good := goodput(crest, readLimit) * float64(len(crest)) / (3 * capacity)
	return []string{
		percent(good),
		ms(percentile(crest, 0.99)),
		ms(refusalPercentile(crest, 0.99)),
		ms(recovery(samples, poolReads, 7*time.Second, 10*time.Second, readLimit)),
	}
}

// refusalPercentile is percentile of the samples that were not answered.
func refusalPercentile(samples []sample, p float64) time.Duration {
	var refused []sample
	for _, s := range samples {
		if !s.done {
			s.done = true
			refused = append(refused, s)
		}
	}
	return percentile(refused, p)
}

func runMixed(w *world, l *load) []string {
	samples := l.run(8*time.Second, w.steady(poolReads, 0.3), w.steady(poolBulk, 1.3))
	reads := window(samples, poolReads, 2*time.Second, 8*time.Second)
	packs := window(samples, poolBulk, 0, 8*time.Second)
	return []string{
		ms(percentile(reads, 0.5)),
		ms(percentile(reads, 0.99)),
		percent(goodput(reads, readLimit)),
		percent(goodput(packs, time.Minute)),
	}
}

func runLoss(w *world, l *load) []string {
	for _, lost := range w.pools[poolOnce][:2] {
		time.AfterFunc(2*time.Second, lost.kill)
		time.AfterFunc(6*time.Second, lost.revive)
	}
	samples := l.run(9*time.Second, w.steady(poolOnce, 0.9))
	loss := window(samples, poolOnce, 2*time.Second, 6*time.Second)
	twice, untrue := w.contradictions(samples)
	return []string{
		fmt.Sprintf("%.3f", attemptsPerRequest(loss)),
		fmt.Sprint(twice),
		fmt.Sprint(untrue),
		percent(goodput(loss, onceLimit)),
		ms(recovery(samples, poolOnce, 6*time.Second, 9*time.Second, onceLimit)),
	}
}

// contradictions returns the number of filings that ran more than once, and of
// those that ran although their caller was told that they did not.
func (w *world) contradictions(samples []sample) (twice, untrue int) {
	runs := map[string]int{}
	for _, t := range w.pools[poolOnce] {
		for key, n := range t.byKey {
			runs[key] += n
		}
	}
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	for _, s := range samples {
		if s.outcome == result.NotRun && runs[s.id] > 0 {
			untrue++
		}
	}
	return twice, untrue
}

func runOwnerLoss(w *world, l *load) []string {
	time.AfterFunc(2*time.Second, w.pools[poolReads][0].kill)
	time.AfterFunc(3500*time.Millisecond, func() { w.views.Apply(w.view(poolReads, 2)) })
	samples := l.run(6*time.Second, w.steady(poolReads, 0.4))
	loss := window(samples, poolReads, 2*time.Second, 3500*time.Millisecond)
	return []string{
		fmt.Sprintf("%.3f", attemptsPerRequest(loss)),
		percent(goodput(loss, readLimit)),
		ms(recovery(samples, poolReads, 3500*time.Millisecond, 6*time.Second, readLimit)),
	}
}

func ms(d time.Duration) string { return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond)) }

func percent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }
