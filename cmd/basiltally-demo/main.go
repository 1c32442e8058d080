// Command basiltally-demo starts the whole system on loopback ports, sends
// requests of all classes, prints who answered and stops everything.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/basiltally/basiltally/demo"
)

type commandLine struct {
	Binaries string `default:"bin" help:"Directory of the built binaries."`
	BasePort int    `help:"First loopback port; without it a free block is taken."`
	VMs      int    `default:"3" name:"vms" help:"VMs of the system."`
	Verbose  bool   `help:"Show the logs of all processes."`

	Tour     struct{}    `cmd:"" default:"1" help:"Send requests of all classes and print who answered."`
	Failover failoverCmd `cmd:"" help:"Take a target, the assigner or both away and print how long keys are without an answer."`
	Rolling  struct{}    `cmd:"" help:"Replace every VM by a planned stop and a start while keys are read."`
	Outage   struct{}    `cmd:"" help:"Replace a VM while the object API does not answer."`
	Rest     restCmd     `cmd:"" help:"Measure calls of the object API and processor time without requests."`
}

type restCmd struct {
	For time.Duration `default:"30s" help:"Time to measure."`
}

type failoverCmd struct {
	Rounds int `default:"5" help:"Rounds of each loss."`
}

func main() {
	var cli commandLine
	k := kong.Parse(&cli, kong.Description("Starts the whole system with stand-ins on loopback ports, uses it and stops it. Exit code 0 if every answer was right."))
	k.FatalIfErrorf(run(&cli, k.Command()))
}

func run(cli *commandLine, command string) error {
	o := demo.Options{Binaries: cli.Binaries, BasePort: cli.BasePort, VMs: cli.VMs}
	if cli.Verbose {
		o.Log = os.Stderr
	}
	c, err := demo.Start(o)
	if err != nil {
		return err
	}
	useErr := runCommand(c, cli, command)
	if err := c.Stop(); err != nil && useErr == nil {
		useErr = err
	}
	if useErr == nil {
		fmt.Println("stopped cleanly: no process is left running")
	}
	return useErr
}

func runCommand(c *demo.Cluster, cli *commandLine, command string) error {
	switch command {
	case "failover":
		return c.Failover(os.Stdout, cli.Failover.Rounds)
	case "rolling":
		return c.Rolling(os.Stdout)
	case "outage":
		return c.Outage(os.Stdout)
	case "rest":
		return c.Rest(os.Stdout, cli.Rest.For)
	default:
		return c.Tour(os.Stdout)
	}
}
