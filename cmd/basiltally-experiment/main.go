// Command basiltally-experiment measures the request path and prints tables in
// Markdown. The policy scenarios run in virtual time; the measurements of overhead
// and of slow readers run on loopback in real time.
package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"github.com/basiltally/basiltally/experiment"
)

type command struct {
	Policy   policyCommand   `cmd:"" help:"Compare policies with the baseline under load and faults, in virtual time. Exit code 1 means that a measure is worse than the baseline's."`
	Overhead overheadCommand `cmd:"" help:"Compare requests through one entry with direct ones, on loopback."`
	Slow     slowCommand     `cmd:"" help:"Measure memory while callers read large bodies slowly, on loopback."`
}

type policyCommand struct {
	Seed     int64  `help:"Seed of the random arrivals and keys." default:"1"`
	Scenario string `help:"Run only the scenario of this name."`
}

type overheadCommand struct {
	experiment.OverheadOptions
}

type slowCommand struct {
	experiment.SlowOptions
}

func main() {
	var c command
	k := kong.Parse(&c, kong.Name("basiltally-experiment"), kong.Description("Measures the request path of an entry."))
	k.FatalIfErrorf(k.Run())
}

// Run prints one table per scenario and exits. Virtual time is only available in a
// test, so the scenarios run as a test.
func (c *policyCommand) Run() error {
	experiment.Prepare()
	all := func(string, string) (bool, error) { return true, nil }
	testing.Main(all, []testing.InternalTest{{Name: "policy", F: c.measure}}, nil, nil)
	return nil
}

func (c *policyCommand) measure(t *testing.T) {
	for _, s := range experiment.Scenarios() {
		if c.Scenario == "" || c.Scenario == s.Name {
			table := s.Run(t, c.Seed)
			printTable(os.Stdout, table)
			for _, r := range table.Regressions() {
				t.Errorf("worse than the baseline: %s", r)
			}
		}
	}
}

// Run prints latency and processor time.
func (c *overheadCommand) Run() error {
	table, err := experiment.Overhead(c.OverheadOptions)
	if err != nil {
		return err
	}
	printTable(os.Stdout, table)
	return nil
}

// Run prints memory figures.
func (c *slowCommand) Run() error {
	table, err := experiment.SlowReaders(c.SlowOptions)
	if err != nil {
		return err
	}
	printTable(os.Stdout, table)
	return nil
}

// printTable writes the table in Markdown.
func printTable(w io.Writer, t experiment.Table) {
	fmt.Fprintf(w, "### %s\n\n%s\n\n| deployment | policy |", t.Name, t.Setting)
	for _, c := range t.Columns {
		fmt.Fprintf(w, " %s |", c.Name)
	}
	fmt.Fprintf(w, "\n|%s\n", strings.Repeat(" --- |", len(t.Columns)+2))
	for _, r := range t.Rows {
		fmt.Fprintf(w, "| %s | %s |", r.Deployment, r.Policy)
		for i, v := range r.Values {
			fmt.Fprintf(w, " "+string(t.Columns[i].Unit)+" |", v)
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w)
}
