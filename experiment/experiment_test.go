package experiment

import (
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/result"
)

func TestMain(m *testing.M) {
	Prepare()
	os.Exit(m.Run())
}

func TestSampleStatistics(t *testing.T) {
	is := is.New(t)
	var samples []sample
	for i := range 100 {
		samples = append(samples, sample{pool: poolReads, arrival: time.Duration(i) * 10 * time.Millisecond, latency: time.Duration(i+1) * time.Millisecond, answered: i < 50, attempts: 2})
	}
	is.Equal(percentile(samples, 0.99), 49*time.Millisecond) // only answered samples count
	is.Equal(goodput(samples, 20*time.Millisecond), 0.2)
	is.Equal(attemptsPerRequest(samples), 2.0)
	is.Equal(len(window(samples, poolReads, 0, 100*time.Millisecond)), 10)
	is.Equal(recoveryTime(samples, poolReads, 0, time.Second, time.Second), time.Second)
	is.Equal(recoveryTime(samples[:50], poolReads, 0, time.Second, time.Second), time.Duration(0))
}

func TestRegressionsAreFound(t *testing.T) {
	is := is.New(t)
	table := Table{
		Columns: []Column{{Name: "p99", Better: Lower}, {Name: "good", Better: Higher}, {Name: "other"}},
		Rows: []Row{
			{"Wales", Baseline, []float64{100, 90, 1}},
			{"Wales", AdaptiveLimits, []float64{109, 82, 9}},
			{"Slovakia", Baseline, []float64{100, 90, 1}},
			{"Slovakia", AdaptiveLimits, []float64{111, 80, 9}},
		},
	}
	is.Equal(len(table.Regressions()), 2)
}

// TestSmallDeploymentLosesTargets runs a small deployment that loses targets: no
// filing may run twice, and none may run if its outcome says that it did not run.
// Latencies and rates are not checked.
func TestSmallDeploymentLosesTargets(t *testing.T) {
	for seed := range int64(1) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d := Deployment{"small", 3, 3, 4, 3, 65, time.Millisecond}
			var values []float64
			s := Scenario{run: func(sim *simulation, l *loadGenerator) []float64 {
				values = runTargetLoss(sim, l)
				for _, s := range l.samples {
					is.True(s.answered || s.outcome != result.Done)
				}
				return values
			}}
			s.measure(d, AdaptiveLimits, seed)
			is.Equal(values[1], 0.0) // filings that ran twice
			is.Equal(values[2], 0.0) // filings with outcome not-run that ran
			is.True(values[3] > 0)   // share of good filings during the loss
		})
	}
}
