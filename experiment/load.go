package experiment

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/pipeline"
	"github.com/basiltally/basiltally/result"
)

// sample is the result of one request as seen by its caller.
type sample struct {
	id, pool string
	// arrival is the time of arrival since the start of the load.
	arrival  time.Duration
	latency  time.Duration
	answered bool
	outcome  result.Outcome
	attempts int
}

// arrivalStream describes the arrivals of requests for one pool. The rate, in
// requests per second, may change with time.
type arrivalStream struct {
	pool string
	rate func(at time.Duration) float64
}

// loadGenerator sends the requests of streams to a simulation and collects the samples.
type loadGenerator struct {
	sim    *simulation
	random *rand.Rand

	mu      sync.Mutex
	samples []sample
	wait    sync.WaitGroup
}

// run sends requests for the duration, with exponentially distributed intervals,
// and waits for all answers. It returns the samples in order of arrival.
func (l *loadGenerator) run(duration time.Duration, streams ...arrivalStream) []sample {
	start := time.Now()
	var senders sync.WaitGroup
	for _, s := range streams {
		seed := l.random.Int63()
		senders.Go(func() { l.send(s, start, duration, rand.New(rand.NewSource(seed))) })
	}
	senders.Wait()
	l.wait.Wait()
	slices.SortFunc(l.samples, func(a, b sample) int { return int(a.arrival - b.arrival) })
	return l.samples
}

func (l *loadGenerator) send(s arrivalStream, start time.Time, duration time.Duration, random *rand.Rand) {
	for n := 0; ; n++ {
		at := time.Since(start)
		if at >= duration {
			return
		}
		key := random.Intn(4000)
		e := l.sim.entries[random.Intn(len(l.sim.entries))]
		l.wait.Go(func() { l.request(e, s.pool, n, key, at) })
		time.Sleep(time.Duration(random.ExpFloat64() / s.rate(at) * float64(time.Second)))
	}
}

func (l *loadGenerator) request(e *entry, pool string, n, key int, at time.Duration) {
	var hc fasthttp.RequestCtx
	id := fmt.Sprintf("%s-%d", pool, n)
	hc.Request.SetRequestURI(fmt.Sprintf("/%s/%d", pool, key))
	hc.Request.Header.SetHost("entry")
	if pool == poolOnce {
		hc.Request.Header.SetMethod(fasthttp.MethodPost)
		hc.Request.Header.Set(pipeline.HeaderIdempotency, id)
	}
	start := time.Now()
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	req := &pipeline.Request{ID: id, Start: start, HTTP: &hc.Request, Answer: &hc.Response, Context: ctx}
	s := sample{id: id, pool: pool, arrival: at}
	ended := make(chan struct{})
	req.OnEnd(func(err error) {
		s.latency = time.Since(start)
		s.answered = err == nil
		if err != nil {
			s.outcome = pipeline.AsError(req, err).Outcome()
		}
		s.attempts = req.Attempts
		close(ended)
	})
	pipeline.Run(e.handler, req)
	if stream := hc.Response.BodyStream(); stream != nil {
		_, _ = io.Copy(io.Discard, stream)
		_ = hc.Response.CloseBodyStream()
	}
	<-ended
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, s)
}

// window returns the samples of a pool that arrived at or after from and before to.
func window(samples []sample, pool string, from, to time.Duration) []sample {
	var out []sample
	for _, s := range samples {
		if s.pool == pool && s.arrival >= from && s.arrival < to {
			out = append(out, s)
		}
	}
	return out
}

// percentile returns the latency up to which the share p of the answered samples
// lies, or zero if none was answered.
func percentile(samples []sample, p float64) time.Duration {
	var done []time.Duration
	for _, s := range samples {
		if s.answered {
			done = append(done, s.latency)
		}
	}
	if len(done) == 0 {
		return 0
	}
	slices.Sort(done)
	return done[int(p*float64(len(done)-1))]
}

// goodput returns the share of samples answered within the limit.
func goodput(samples []sample, limit time.Duration) float64 {
	if len(samples) == 0 {
		return 0
	}
	good := 0
	for _, s := range samples {
		if s.answered && s.latency <= limit {
			good++
		}
	}
	return float64(good) / float64(len(samples))
}

// attemptsPerRequest returns the mean number of attempts per sample.
func attemptsPerRequest(samples []sample) float64 {
	if len(samples) == 0 {
		return 0
	}
	total := 0
	for _, s := range samples {
		total += s.attempts
	}
	return float64(total) / float64(len(samples))
}

// recoveryTime returns the time from the instant from to the end of the last step of
// 100 ms, before end, in which the share of samples answered within the limit is
// below 0.9. It returns zero if there is no such step.
func recoveryTime(samples []sample, pool string, from, end, limit time.Duration) time.Duration {
	const step = 100 * time.Millisecond
	recovered := from
	for at := from; at < end; at += step {
		w := window(samples, pool, at, at+step)
		if len(w) > 0 && goodput(w, limit) < 0.9 {
			recovered = at + step
		}
	}
	return recovered - from
}
