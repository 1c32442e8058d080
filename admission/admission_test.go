package admission

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDecide(t *testing.T) {
	ms := time.Millisecond
	tests := []struct {
		name  string
		e     Estimate
		r     Request
		admit bool
		room  time.Duration
	}{
		{"idle", Estimate{Service: 80 * ms}, Request{1200 * ms, 300 * ms}, true, 0},
		{"short queue", Estimate{Service: 80 * ms, Wait: 100 * ms}, Request{1200 * ms, 300 * ms}, true, 0},
		{"queue past the latency target", Estimate{Service: 80 * ms, Wait: 225 * ms}, Request{1200 * ms, 300 * ms}, false, 50 * ms},
		{"past the deadline", Estimate{Service: 80 * ms, Wait: 50 * ms}, Request{100 * ms, 300 * ms}, false, 30 * ms},
		{"slow target without a queue", Estimate{Service: 400 * ms}, Request{1200 * ms, 300 * ms}, true, 0},
		{"latency target already missed", Estimate{Service: 80 * ms, Wait: 30 * ms}, Request{900 * ms, -100 * ms}, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			admit, room := Decide(tt.e, tt.r)
			is.Equal(admit, tt.admit)
			is.Equal(room, tt.room)
		})
	}
}

// ends is a heap of the instants at which running requests end.
type ends []time.Duration

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i] < e[j] }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(time.Duration)) }
func (e *ends) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulateHotKey sends requests for one key, at a rate per second, to its owner with six
// slots and a queue of 24. It returns the shares of the requests that were answered in time,
// answered late, and refused.
func simulateHotKey(rate float64, decide func(Estimate, Request) bool) (inTime, late, refused float64) {
	const (
		slots, queue = 6, 24
		mean         = 74 * time.Millisecond
		target       = 300 * time.Millisecond
		deadline     = 1200 * time.Millisecond
		roundTrip    = 25 * time.Millisecond
		// lag is the age of the load report by which a request is admitted.
		lag    = 80 * time.Millisecond
		length = 20 * time.Second
	)
	rng := rand.New(rand.NewPCG(1, 2))
	type loadReading struct {
		at   time.Duration
		load int
	}
	var (
		running ends
		free    [slots]time.Duration
		history []loadReading
		counts  [3]int
	)
	for now := time.Duration(0); now < length; now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
		for len(running) > 0 && running[0] <= now {
			heap.Pop(&running)
		}
		history = append(history, loadReading{now, len(running)})
		seen := 0
		for _, k := range history {
			if k.at <= now-lag {
				seen = k.load
			}
		}
		wait := time.Duration(max(float64(seen+1-slots), 0) / slots * float64(mean))
		if len(running) >= slots+queue || !decide(Estimate{mean, wait, roundTrip}, Request{deadline, target}) {
			counts[2]++
			continue
		}
		first := 0
		for i := range free {
			if free[i] < free[first] {
				first = i
			}
		}
		work := time.Duration(float64(mean) * math.Exp(0.5*rng.NormFloat64()-0.125))
		end := max(free[first], now) + work
		free[first] = end
		heap.Push(&running, end)
		if took := end - now + roundTrip; took <= target {
			counts[0]++
		} else {
			counts[1]++
		}
	}
	total := float64(counts[0] + counts[1] + counts[2])
	return float64(counts[0]) / total, float64(counts[1]) / total, float64(counts[2]) / total
}

func admitAll(Estimate, Request) bool { return true }

func admitShortQueue(e Estimate, r Request) bool {
	admit, _ := Decide(e, r)
	return admit
}

// With 1.4 times the load that the owner can serve, a short queue yields far more answers
// in time than a full one, and hardly more requests are refused.
func TestOverloadedOwnerAnswersInTime(t *testing.T) {
	is := is.New(t)
	fullInTime, _, fullRefused := simulateHotKey(115, admitAll)
	inTime, _, refused := simulateHotKey(115, admitShortQueue)
	t.Logf("in time %.2f, with a full queue %.2f; refused %.2f, with a full queue %.2f", inTime, fullInTime, refused, fullRefused)
	is.True(inTime > fullInTime+0.3)
	is.True(refused < fullRefused+0.05)
}

// At low load a quarter of the slots are busy, and no request may be refused.
func TestNothingIsRefusedAtLowLoad(t *testing.T) {
	_, _, refused := simulateHotKey(20, admitShortQueue)
	is.New(t).Equal(refused, 0.0)
}
