package soak

import (
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
	s.opts.Only = nil
	is.Equal(len(s.drawn()), len(disturbances))
	is.True(s.plays(statementsName))
}
