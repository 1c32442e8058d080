package gateway

import (
	"cmp"
	"context"
	"encoding/hex"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/zeebo/xxh3"

	"github.com/basiltally/basiltally/evidence"
	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/quarantine"
	"github.com/basiltally/basiltally/upstream"
)

// CrashWatchOptions configures a CrashWatch.
type CrashWatchOptions struct {
	// Tracker relates the crashes to the requests.
	Tracker *quarantine.Tracker
	// Directory has the entries of the targets.
	Directory *fleet.Directory
	// Connected reports whether a connection of this VM to the address that was opened before the given instant
	// is open and idle. A process that ends closes all of them.
	Connected func(address string, openedBefore time.Time) bool
	// EntryDelay is the longest time from a crash until the entry of the target shows it. Default
	// DefaultEntryDelay.
	EntryDelay time.Duration
	// Probe opens a connection, unless one is open, to see whether the address refuses it.
	Probe func(ctx context.Context, address string) error
	// OnRefused is called with a target whose address refuses connections. It may be nil.
	OnRefused  func(fleet.Incarnation)
	Registerer prometheus.Registerer
	Logger     *slog.Logger
}

// DefaultEntryDelay is the default of CrashWatchOptions.EntryDelay, for targets that check in each 1.5 s.
const DefaultEntryDelay = 8 * time.Second

// EntryDelay returns the longest time from a crash until the entry of the target shows it, if targets check in at
// the interval: the platform removes entries after three check-ins without one.
func EntryDelay(checkIn time.Duration) time.Duration { return 3*checkIn + relayDelay }

// relayDelay bounds the time that the store and the relay of its changes take.
const relayDelay = 3500 * time.Millisecond

const (
	// probeDelay is the time from a broken connection to the second probe. The other connections of a process that
	// has ended, and its address, may be closed a moment later than the first one.
	probeDelay   = 100 * time.Millisecond
	probeTimeout = 400 * time.Millisecond
	// probeInterval is the least time between two probes of a target.
	probeInterval = time.Second
	// maxDoubtful bounds the requests that are kept for one target. The latest are kept.
	maxDoubtful = 64
)

// CrashWatch finds out whether targets crashed while they ran requests, and reports that to the quarantine.
// Several crashes during one request make all VMs refuse it.
//
// A target that left a request without an answer is in doubt. It has crashed if its address refuses connections, if
// another target answers there, or if within EntryDelay its entry goes without notice or becomes that of a later start. That
// the address accepts connections shows nothing: another process may have taken its place.
type CrashWatch struct {
	opts     CrashWatchOptions
	verdicts *prometheus.CounterVec

	mu     sync.Mutex
	doubts map[fleet.Incarnation]*doubt
}

// verdict is what was found of a target in doubt.
type verdict string

// Values of the log key and metric label "verdict".
const (
	verdictCrashed verdict = "crashed"
	// verdictLeft means that the target has ended after it had announced that it leaves.
	verdictLeft  verdict = "left"
	verdictAlive verdict = "alive"
)

// doubt holds the requests that an incarnation has left without an answer.
type doubt struct {
	address string
	// requests are in the order in which they failed.
	requests []doubtfulRequest
	// probed is when a request last led to a probe.
	probed time.Time
}

type doubtfulRequest struct {
	fingerprint quarantine.Fingerprint
	failedAt    time.Time
}

// NewCrashWatch returns a CrashWatch and registers its metrics.
func NewCrashWatch(opts CrashWatchOptions) *CrashWatch {
	opts.EntryDelay = cmp.Or(opts.EntryDelay, DefaultEntryDelay)
	opts.Logger = cmp.Or(opts.Logger, slog.New(slog.DiscardHandler))
	w := &CrashWatch{
		opts: opts, doubts: map[fleet.Incarnation]*doubt{},
		verdicts: promauto.With(opts.Registerer).NewCounterVec(prometheus.CounterOpts{
			Name: "basiltally_crash_doubts_total",
			Help: "Targets that left requests without an answer, by what was found of them: crashed, left or alive.",
		}, []string{"verdict"}),
	}
	opts.Directory.OnChange(w.observe)
	return w
}

// fingerprint identifies what the request asks for. A caller that sends it again changes its ID and the
// time that is left only.
func (c *call) fingerprint(keyHeader string) quarantine.Fingerprint {
	h, r := xxh3.New(), c.req
	for _, part := range [][]byte{[]byte(c.method), r.Header.Host(), r.Header.RequestURI(), r.Header.Peek(keyHeader), r.Body} {
		// Writing to a hash never fails. The length keeps parts apart.
		_, _ = h.WriteString(strconv.Itoa(len(part)) + ":")
		_, _ = h.Write(part)
	}
	return quarantine.Fingerprint(h.Sum128().Bytes())
}

// trackerID names an incarnation for the Tracker.
func trackerID(i fleet.Incarnation) ownership.TargetID {
	return ownership.TargetID(i.ID + "/" + strconv.FormatInt(i.Born, 10))
}

// begin records that the request is about to be sent to the target.
func (w *CrashWatch) begin(t *fleet.Target, fp quarantine.Fingerprint) {
	w.opts.Tracker.Started(trackerID(t.Incarnation()), fp)
}

// end records how the exchange ended. expected is set if this VM ended it, or if the target was probably full; the target
// is not probed then.
func (w *CrashWatch) end(t *fleet.Target, fp quarantine.Fingerprint, a *upstream.Answer, f *upstream.Failure, expected bool) {
	i := t.Incarnation()
	w.opts.Tracker.Finished(trackerID(i), fp, f == nil && !a.NotRun)
	if f == nil && a.OtherTarget {
		w.observeReplaced(t)
	}
	if f == nil || !f.Call().MayBeDone() {
		return
	}
	now := time.Now()
	w.mu.Lock()
	d := w.doubts[i]
	if d == nil {
		d = &doubt{address: t.Address}
		w.doubts[i] = d
		time.AfterFunc(w.opts.EntryDelay, func() { w.expire(i, d) })
	}
	if len(d.requests) >= maxDoubtful {
		d.requests = d.requests[1:]
	}
	d.requests = append(d.requests, doubtfulRequest{fp, now})
	probe := !f.TimedOut && !expected && now.Sub(d.probed) >= probeInterval
	if probe {
		d.probed = now
		go w.probe(i, d, now)
	}
	w.mu.Unlock()
	// The entry may have changed while the request was on its way.
	w.observeOne(i, d, w.opts.Directory.Snapshot())
}

// probe looks at the target, one of whose connections broke off at the given instant, at once and after probeDelay.
func (w *CrashWatch) probe(i fleet.Incarnation, d *doubt, broken time.Time) {
	if !w.opts.Connected(d.address, broken) && w.probeRefused(i, d, broken) {
		return
	}
	time.Sleep(probeDelay)
	if w.opts.Connected(d.address, broken) {
		w.settle(i, d, verdictAlive, "another connection to it is open", time.Now())
		return
	}
	w.probeRefused(i, d, broken)
}

// probeRefused opens a connection to the target, and reports whether its address refuses it.
func (w *CrashWatch) probeRefused(i fleet.Incarnation, d *doubt, broken time.Time) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if err := w.opts.Probe(ctx, d.address); !evidence.MayHaveCrashed(evidence.Refused(err), false) {
		return false
	}
	if w.opts.OnRefused != nil {
		w.opts.OnRefused(i)
	}
	w.settleEnded(i, d, quarantine.Evidence{ConnectionRefused: true, At: broken}, "its address refuses connections")
	return true
}

// observe looks for targets in doubt whose entries show that a later start has taken their place, or that are gone.
func (w *CrashWatch) observe() {
	w.mu.Lock()
	all := make(map[fleet.Incarnation]*doubt, len(w.doubts))
	for i, d := range w.doubts {
		all[i] = d
	}
	w.mu.Unlock()
	s := w.opts.Directory.Snapshot()
	for i, d := range all {
		w.observeOne(i, d, s)
	}
}

func (w *CrashWatch) observeOne(i fleet.Incarnation, d *doubt, s *fleet.Snapshot) {
	// A table of owners may name a target whose entry has not arrived yet.
	listed := s.ByID[i.ID] != nil && s.ByID[i.ID].Born == i.Born
	if neverListed := s.LeavingSince(i).IsZero(); listed || neverListed {
		return
	}
	w.settleEnded(i, d, quarantine.Evidence{LaterStart: true}, "its entry is gone, or that of a later start")
}

// observeReplaced notes that another target answers at the address of t.
func (w *CrashWatch) observeReplaced(t *fleet.Target) {
	i := t.Incarnation()
	w.mu.Lock()
	d := w.doubts[i]
	w.mu.Unlock()
	if d != nil {
		w.settleEnded(i, d, quarantine.Evidence{LaterStart: true}, "another target answers at its address")
	}
}

// settleEnded settles the doubt about an incarnation that has ended: as announced, or else in a crash while it may have
// run the requests. If the evidence does not say when, that was no later than the last of them failed.
func (w *CrashWatch) settleEnded(i fleet.Incarnation, d *doubt, e quarantine.Evidence, reason string) {
	s := w.opts.Directory.Snapshot()
	if t := s.ByID[i.ID]; s.Left(i) || t != nil && t.Born == i.Born && t.State == fleet.Draining {
		w.settle(i, d, verdictLeft, reason, time.Now())
		return
	}
	w.mu.Lock()
	if e.At.IsZero() && len(d.requests) > 0 {
		e.At = d.requests[len(d.requests)-1].failedAt
	}
	w.mu.Unlock()
	e.Incarnation = uint64(i.Born)
	if ended := w.settle(i, d, verdictCrashed, reason, time.Now()); len(ended) > 0 {
		w.opts.Tracker.Crashed(trackerID(i), e, ended...)
	}
}

// expire ends the doubt about requests whose target would show a crash by now, and looks again at the others later.
func (w *CrashWatch) expire(i fleet.Incarnation, d *doubt) {
	if w.opts.Directory.EntriesMayReturn() {
		// What the entries show now may be older than the doubt.
		time.AfterFunc(w.opts.EntryDelay, func() { w.expire(i, d) })
		return
	}
	w.settle(i, d, verdictAlive, "its entry has not changed", time.Now().Add(-w.opts.EntryDelay))
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.doubts[i] == d {
		time.AfterFunc(time.Until(d.requests[0].failedAt.Add(w.opts.EntryDelay)), func() { w.expire(i, d) })
	}
}

// settle ends the doubt about the requests that failed until the given instant, with a verdict, and returns them.
func (w *CrashWatch) settle(i fleet.Incarnation, d *doubt, v verdict, reason string, until time.Time) []quarantine.Fingerprint {
	w.mu.Lock()
	var settled []quarantine.Fingerprint
	var names []string
	first := time.Now()
	for len(d.requests) > 0 && !d.requests[0].failedAt.After(until) {
		r := d.requests[0]
		d.requests = d.requests[1:]
		settled, names = append(settled, r.fingerprint), append(names, hex.EncodeToString(r.fingerprint[:]))
		first = earlier(first, r.failedAt)
	}
	if len(d.requests) == 0 && w.doubts[i] == d {
		delete(w.doubts, i)
	}
	w.mu.Unlock()
	if len(settled) == 0 {
		return nil // Another path has settled it.
	}
	w.verdicts.WithLabelValues(string(v)).Inc()
	w.opts.Logger.Info("target in doubt", "verdict", string(v), "reason", reason, "target", i.ID, "born", i.Born, "address", d.address,
		"age_ms", time.Since(first).Milliseconds(), "requests", names)
	return settled
}
