package soak

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a soak that plays other disturbances than the chosen ones, or all for a name that it does not know.
func TestOnlyChosenDisturbancesArePlayed(t *testing.T) {
	is := is.New(t)
	s := &soak{opts: Options{Only: []string{"step back", "store"}}}
	var names []string
	for _, d := range s.drawn() {
		names = append(names, d.name)
	}
	is.Equal(names, []string{"store", "step back"})
	is.True(!s.plays(statementsName))
	is.NoErr(checkNames(s.opts.Only))
	is.True(checkNames([]string{"stepback"}) != nil)
	s.opts.Only = []string{"long work", "cut after outage"}
	is.NoErr(checkNames(s.opts.Only))
	is.Equal(len(s.drawn()), 2)
	s.opts.Only = nil
	is.Equal(len(s.drawn()), len(disturbances))
	is.True(s.plays(statementsName))
}

// Guards against a kept seed that plays other disturbances than those with which it once failed.
func TestKeptSeedsHaveNoHoldFaults(t *testing.T) {
	is := is.New(t)
	kept := 0
	for _, name := range []string{"seeds.txt", "seeds-step-back.txt", "seeds-hard-load.txt"} {
		text, err := os.ReadFile(name)
		is.NoErr(err)
		for line := range strings.Lines(string(text)) {
			fields := strings.Fields(line)
			if len(fields) == 0 || strings.HasPrefix(line, "#") {
				continue
			}
			seed, err := strconv.ParseUint(fields[0], 10, 64)
			is.NoErr(err)
			kept++
			// Seeds of steps back are played with --only.
			is.True(name == "seeds-step-back.txt" || !(&soak{seed: seed}).hasHoldFaults())
		}
	}
	is.True(kept > 0)
	is.True((&soak{seed: 3}).hasHoldFaults())
	is.True(!(&soak{seed: 3, opts: Options{Only: []string{"store"}}}).hasHoldFaults())
}
