package gateway

import (
	"cmp"
	"context"
	"encoding/hex"
	"log/slog"
	"net"
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
	// Connected reports whether a connection of this VM to the address is open and idle. A process that
	// ends closes all of them.
	Connected func(address string) bool
	// Dial opens a connection, to see whether the address refuses it. Default: a TCP dial with a timeout
	// of 400 ms.
	Dial       func(ctx context.Context, address string) (net.Conn, error)
	Registerer prometheus.Registerer
	Logger     *slog.Logger
}

const (
	probeTimeout = 400 * time.Millisecond
	// doubtTime is how long requests that a target left without an answer are kept, until its entry shows
	// whether it has crashed. Entries of targets that are gone expire after three check-in intervals.
	doubtTime = 5 * time.Second
	// maxDoubts bounds the requests that are kept for one target.
	maxDoubts = 64
)

// CrashWatch finds out whether targets crashed while they ran requests, and reports that to the quarantine.
// Several crashes during one request make all VMs refuse it.
type CrashWatch struct {
	opts    CrashWatchOptions
	settled *prometheus.CounterVec

	mu     sync.Mutex
	doubts map[fleet.Incarnation]*doubt
}

// doubt holds the requests that an incarnation left without an answer.
type doubt struct {
	address string
	// since is when the first of them failed.
	since    time.Time
	requests []quarantine.Fingerprint
	probing  bool
}

// NewCrashWatch returns a CrashWatch.
func NewCrashWatch(opts CrashWatchOptions) *CrashWatch {
	if opts.Dial == nil {
		var d net.Dialer
		opts.Dial = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	}
	opts.Logger = cmp.Or(opts.Logger, slog.New(slog.DiscardHandler))
	return &CrashWatch{
		opts: opts, doubts: map[fleet.Incarnation]*doubt{},
		settled: promauto.With(opts.Registerer).NewCounterVec(prometheus.CounterOpts{
			Name: "basiltally_crash_doubts_total",
			Help: "Targets that left requests without an answer, by what was found of them: crashed, alive or unproved.",
		}, []string{"verdict"}),
	}
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

// end records how the exchange ended. abandoned is set if this VM ended it.
func (w *CrashWatch) end(t *fleet.Target, fp quarantine.Fingerprint, a *upstream.Answer, f *upstream.Failure, abandoned bool) {
	if f == nil || !f.Call().MayBeDone() || abandoned {
		w.opts.Tracker.Finished(trackerID(t.Incarnation()), fp, f == nil && !a.NotRun)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	i := t.Incarnation()
	d := w.doubts[i]
	if d == nil {
		d = &doubt{address: t.Address, since: time.Now()}
		w.doubts[i] = d
		time.AfterFunc(doubtTime, func() { w.dispel(i, d, "unproved", "its entry did not change") })
	}
	if len(d.requests) >= maxDoubts {
		w.opts.Tracker.Finished(trackerID(i), fp, false)
		return
	}
	d.requests = append(d.requests, fp)
	if !f.TimedOut && !d.probing && !w.opts.Connected(t.Address) {
		d.probing = true
		go w.probe(i, d)
	}
}

// probe dials the target whose connections have broken off.
func (w *CrashWatch) probe(i fleet.Incarnation, d *doubt) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	nc, err := w.opts.Dial(ctx, d.address)
	switch {
	case err == nil:
		nc.Close()
		w.dispel(i, d, "alive", "its address accepts connections")
	case evidence.MayHaveCrashed(evidence.Refused(err), false):
		w.crashed(i, d, quarantine.Evidence{ConnectionRefused: true})
	default:
		// The entry of the target may show later what has happened.
		w.mu.Lock()
		d.probing = false
		w.mu.Unlock()
	}
}

// Observe looks for targets in doubt whose entries show that a later start has taken their place, or that are gone
// without notice.
func (w *CrashWatch) Observe(s *fleet.Snapshot) {
	w.mu.Lock()
	gone := map[fleet.Incarnation]*doubt{}
	for i, d := range w.doubts {
		if t := s.ByID[i.ID]; t == nil || t.Born != i.Born {
			gone[i] = d
		}
	}
	w.mu.Unlock()
	for i, d := range gone {
		w.crashed(i, d, quarantine.Evidence{LaterStart: true})
	}
}

// crashed reports that the incarnation may have crashed.
func (w *CrashWatch) crashed(i fleet.Incarnation, d *doubt, e quarantine.Evidence) {
	e.Incarnation, e.At = uint64(i.Born), d.since
	w.opts.Tracker.Crashed(trackerID(i), e)
	reason := "its entry is gone, or that of a later start"
	if e.ConnectionRefused {
		reason = "its address refuses connections"
	}
	w.dispel(i, d, "crashed", reason)
}

// dispel ends the doubt with a verdict: crashed, alive or unproved.
func (w *CrashWatch) dispel(i fleet.Incarnation, d *doubt, verdict, reason string) {
	w.mu.Lock()
	if w.doubts[i] == d {
		delete(w.doubts, i)
	}
	requests := d.requests
	d.requests = nil
	w.mu.Unlock()
	if len(requests) == 0 {
		return // It has ended before.
	}
	w.settled.WithLabelValues(verdict).Inc()
	fingerprints := make([]string, len(requests))
	for n, fp := range requests {
		fingerprints[n] = hex.EncodeToString(fp[:])
		w.opts.Tracker.Finished(trackerID(i), fp, false)
	}
	w.opts.Logger.Info("target in doubt", "verdict", verdict, "reason", reason, "target", i.ID, "born", i.Born, "address", d.address,
		"age_ms", time.Since(d.since).Milliseconds(), "requests", fingerprints)
}
