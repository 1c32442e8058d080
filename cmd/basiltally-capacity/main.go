// Command basiltally-capacity measures how the cost of each role grows with its
// load, and projects the costs to the size to design for.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/basiltally/basiltally/capacity"
)

// version is set by the linker.
var version = "dev"

// Flags is the command line.
type Flags struct {
	Budget time.Duration `help:"Approximate processor time of each measured round." default:"100ms"`
	Only   []string      `help:"Sweeps to run; default: all. The projection is made only if all sweeps run." placeholder:"SWEEP"`
	JSON   bool          `help:"Print JSON instead of tables." name:"json"`

	Version kong.VersionFlag `help:"Print the version and exit."`
}

// report is the JSON output.
type report struct {
	Sweeps []capacity.Sweep `json:"sweeps"`
	// Built is the projection with the mechanisms that exist.
	Built []capacity.Row `json:"built,omitempty"`
	// Planned is the projection with the planned mechanisms as well.
	Planned []capacity.Row `json:"planned,omitempty"`
}

func main() {
	var flags Flags
	parser := kong.Parse(&flags,
		kong.Name("basiltally-capacity"),
		kong.Description("Measures the cost of each role over its load, fits lines, and projects them to the size to design for. Exit code 0 is success, 1 a failed measurement, 80 a usage error."),
		kong.Vars{"version": version},
	)
	parser.FatalIfErrorf(run(flags))
}

func run(flags Flags) error {
	opts := capacity.Options{Budget: flags.Budget, Only: flags.Only}
	if flags.JSON {
		return runJSON(opts)
	}
	sweeps, err := capacity.Run(opts, func(s capacity.Sweep) {
		if err := capacity.WriteSweep(os.Stdout, s); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	})
	if err != nil || len(flags.Only) > 0 {
		return err
	}
	built, planned, err := project(sweeps)
	if err != nil {
		return err
	}
	return capacity.WriteProjection(os.Stdout, []string{"as built", "as planned"}, [][]capacity.Row{built, planned})
}

// project computes the costs of both designs at the size to design for.
func project(sweeps []capacity.Sweep) (built, planned []capacity.Row, err error) {
	size, limits := capacity.DefaultSize(), capacity.DefaultLimits()
	built, err = capacity.Project(sweeps, size, limits, capacity.BuiltDesign())
	if err != nil {
		return nil, nil, err
	}
	planned, err = capacity.Project(sweeps, size, limits, capacity.PlannedDesign())
	return built, planned, err
}

func runJSON(opts capacity.Options) error {
	sweeps, err := capacity.Run(opts, nil)
	if err != nil {
		return err
	}
	out := report{Sweeps: sweeps}
	if len(opts.Only) == 0 {
		if out.Built, out.Planned, err = project(sweeps); err != nil {
			return err
		}
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(out)
}
