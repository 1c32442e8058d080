package capacity

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestFitLine(t *testing.T) {
	is := is.New(t)
	exact := FitLine([]Sample{{1, 5}, {2, 7}, {4, 11}, {8, 19}})
	is.True(math.Abs(exact.Slope-2) < 1e-9)
	is.True(math.Abs(exact.Intercept-3) < 1e-9)
	is.True(exact.Residual < 1e-9)
	bent := FitLine([]Sample{{0, 0}, {1, 1}, {2, 4}, {3, 9}})
	is.True(math.Abs(bent.Slope-3) < 1e-9)
	is.True(math.Abs(bent.Intercept+1) < 1e-9)
	is.True(math.Abs(bent.Residual-1) < 1e-9) // distances 1, -1, -1, 1
	is.True(math.Abs(bent.Relative-1/3.5) < 1e-9)
}

func TestEachSweepHasFourPoints(t *testing.T) {
	for _, p := range sweepDefinitions() {
		if len(p.points) < 4 {
			t.Errorf("sweep %s has %d points", p.name, len(p.points))
		}
	}
}

func TestTraceOfASettledGroup(t *testing.T) {
	is := is.New(t)
	tr, err := recordTrace(4, 64)
	is.NoErr(err)
	is.Equal(tr.renewalsSent, int(4*4*steadyTime.Seconds())) // four targets, four heartbeats per second
	again, err := recordTrace(4, 64)
	is.NoErr(err)
	is.Equal(len(again.steps), len(tr.steps)) // each run has the same steps
}

// sweepsWithLine returns all sweeps; each series has the given slope and intercept.
func sweepsWithLine(t *testing.T, slope, intercept float64) []Sweep {
	t.Helper()
	var sweeps []Sweep
	for _, p := range sweepDefinitions() {
		s := Sweep{Name: p.name}
		for _, name := range []string{
			CoreCPU, CoreHeap, WireCPU, WireBytes, SupportBytes, SupportCPU, RecordBytes, ViewBytes, DeltaBytes, ViewDecodeCPU,
			DeltaApplyCPU, ViewHeap, LookupCPU, UpdateCPU, IdleBytes, SubscriberHeap, BatchBytes, DocumentBytes, ParseCPU,
			ListBytes, ListHeap, PlaceCPU, ClaimServiceCPU, ClaimWriteBytes, ClaimHeap,
		} {
			s.Series = append(s.Series, Series{Name: name, Fit: Fit{Slope: slope, Intercept: intercept}})
		}
		sweeps = append(sweeps, s)
	}
	return sweeps
}

func TestProjection(t *testing.T) {
	is := is.New(t)
	rows, err := Project(sweepsWithLine(t, 2, 10), DefaultSize(), DefaultLimits(), BuiltDesign())
	is.NoErr(err)
	values := make(map[string]Row)
	for _, r := range rows {
		is.True(!math.IsNaN(r.Value) && !math.IsInf(r.Value, 0))
		values[r.Role+"/"+r.Figure] = r
	}
	is.Equal(values["assigner/groups"].Value, 700.0)
	is.Equal(values["assigner/renewals of one group"].Value, 400*2.0) // 100 targets, 4 renewals per second, 2 bytes each
	is.True(values["store/waiting watches and reads of the VM list"].Missed())
	is.True(!values["store/writes of bundles"].Missed())

	_, err = Project(nil, DefaultSize(), DefaultLimits(), BuiltDesign())
	is.True(err != nil) // a missing sweep is an error
}

func TestProjectionMarksMissedLimits(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	rows := []Row{{Role: "r", Figure: "over", Unit: "B/s", Value: 4, Limit: 3}, {Role: "r", Figure: "under", Unit: "share", Value: 0.01, Limit: 0.015}}
	is.NoErr(WriteProjection(&out, []string{"as built"}, [][]Row{rows}))
	is.True(strings.Contains(out.String(), "4 B/s MISSED"))
	is.True(strings.Contains(out.String(), "1% met"))
}

func TestMeasureSupport(t *testing.T) {
	is := is.New(t)
	s := Sweep{Name: SweepSupport}
	for _, x := range []int{1, 2} {
		is.NoErr(measureSupport(&s, x, time.Millisecond))
	}
	s.fitLines()
	is.Equal(len(s.Series), 3)
	is.True(s.Series[1].Fit.Slope > 0) // the message grows with the number of groups
}
