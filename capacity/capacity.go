// Package capacity measures how the cost of each role grows with its load, and
// projects from the fitted lines what each role costs at a given system size.
//
// A sweep varies one quantity, measures several costs at each value and fits a
// straight line to each cost. Processor time is that of this process (getrusage),
// memory is the live heap. Where both ends of a connection run in this process,
// the figure is the sum of both.
package capacity

import (
	"time"

	"github.com/pkg/errors"
)

// Series is one cost, sampled at each value of a sweep's variable.
type Series struct {
	// Name identifies the cost.
	Name string `json:"name"`
	// Unit is the unit of the cost; empty for a plain count.
	Unit    string   `json:"unit"`
	Samples []Sample `json:"samples"`
	Fit     Fit      `json:"fit"`
}

// Sweep is the result of varying one quantity.
type Sweep struct {
	// Name identifies the sweep.
	Name string `json:"name"`
	// Variable describes the quantity that was varied.
	Variable string   `json:"variable"`
	Series   []Series `json:"series"`
}

// addSample appends a sample to the series with the name, which it creates if needed.
func (s *Sweep) addSample(name, unit string, x, y float64) {
	for i := range s.Series {
		if s.Series[i].Name == name {
			s.Series[i].Samples = append(s.Series[i].Samples, Sample{x, y})
			return
		}
	}
	s.Series = append(s.Series, Series{Name: name, Unit: unit, Samples: []Sample{{x, y}}})
}

func (s *Sweep) fitLines() {
	for i := range s.Series {
		s.Series[i].Fit = FitLine(s.Series[i].Samples)
	}
}

// Options configures the measurement.
type Options struct {
	// Budget is the approximate processor time of each measured round, of which a round takes
	// at least half; default 100 ms.
	Budget time.Duration
	// Only selects sweeps by name; empty runs all.
	Only []string
}

// DefaultBudget is the default of Options.Budget.
const DefaultBudget = 100 * time.Millisecond

// measureFunc measures the costs at one value x of the variable and adds them to s.
type measureFunc func(s *Sweep, x int, budget time.Duration) error

// sweepDefinition describes a sweep and the values of its variable.
type sweepDefinition struct {
	name     string
	variable string
	points   []int
	measure  measureFunc
}

// sweepDefinitions returns all sweeps.
func sweepDefinitions() []sweepDefinition {
	return []sweepDefinition{
		{SweepTargets, "targets per group", []int{8, 16, 32, 64, 128}, measureTargets},
		{SweepGroups, "groups per assigner", []int{1, 2, 4, 8, 16}, measureGroups},
		{SweepRenewals, "renewals", []int{200, 400, 800, 1600}, measureRenewals},
		{SweepGrants, "grants per renewal", []int{0, 8, 16, 32, 64}, measureGrants},
		{SweepSupport, "groups per support message", []int{1, 4, 16, 64}, measureSupport},
		{SweepSlots, "slots per group", []int{256, 512, 1024, 2048, 4096}, measureSlots},
		{SweepViewTargets, "targets per view", []int{16, 32, 64, 128, 256}, measureViewTargets},
		{SweepChanges, "changed slots per delta", []int{0, 8, 16, 32, 64}, measureChanges},
		{SweepSubscribers, "subscribers of a relay", []int{2, 4, 8, 16, 32}, measureSubscribers},
		{SweepClaims, "claims per batch", []int{1, 25, 50, 100, 200}, measureClaims},
		{SweepClaimRounds, "claims at once", []int{50, 100, 200, 400}, measureClaimRounds},
		{SweepClaimsKept, "claims kept", []int{2000, 4000, 8000, 16000}, measureClaimsKept},
		{SweepRequests, "lookups", []int{250_000, 500_000, 1_000_000, 2_000_000}, measureRequests},
		{SweepTableGroups, "groups in the table", []int{64, 128, 256, 512, 700}, measureTableGroups},
		{SweepClasses, "classes in the bundle", []int{16, 64, 256, 1024}, measureClasses},
		{SweepVMList, "entries of the VM list", []int{2000, 4000, 8000, 19000}, measureVMList},
	}
}

// Run measures the selected sweeps. It passes each completed sweep to done, which
// may be nil. On an error it returns the sweeps completed so far.
func Run(opts Options, done func(Sweep)) ([]Sweep, error) {
	if opts.Budget <= 0 {
		opts.Budget = DefaultBudget
	}
	var sweeps []Sweep
	for _, p := range selectSweeps(opts.Only) {
		s := Sweep{Name: p.name, Variable: p.variable}
		for _, x := range p.points {
			if err := p.measure(&s, x, opts.Budget); err != nil {
				return sweeps, errors.Wrapf(err, "measure sweep %s at x = %d", p.name, x)
			}
		}
		s.fitLines()
		sweeps = append(sweeps, s)
		if done != nil {
			done(s)
		}
	}
	return sweeps, nil
}

func selectSweeps(only []string) []sweepDefinition {
	if len(only) == 0 {
		return sweepDefinitions()
	}
	var out []sweepDefinition
	for _, p := range sweepDefinitions() {
		for _, name := range only {
			if p.name == name {
				out = append(out, p)
			}
		}
	}
	return out
}
