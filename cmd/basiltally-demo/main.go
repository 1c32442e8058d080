// Command basiltally-demo starts the whole system on loopback ports, runs a tour or a
// measurement, prints the results and stops all processes.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/basiltally/basiltally/demo"
)

type commandLine struct {
	Binaries string `default:"bin" help:"Directory of the built programs."`
	BasePort int    `help:"First loopback port; default: the first of a free range of ports."`
	VMs      int    `default:"3" name:"vms" help:"Number of VMs."`
	Verbose  bool   `help:"Show the logs of all processes."`

	Tour     struct{}    `cmd:"" default:"1" help:"Send requests of all classes and print which targets answered."`
	Failover failoverCmd `cmd:"" help:"Freeze a target, kill the assigner or both, with the store up and down, and print how long keys get no answer."`
	Rolling  struct{}    `cmd:"" help:"Stop and restart every VM in turn while keys are read."`
	Outage   struct{}    `cmd:"" help:"Replace the processes of a VM while the object API does not answer."`
	Rest     restCmd     `cmd:"" help:"Measure calls to the object API and processor time while there are no requests."`
}

type restCmd struct {
	For time.Duration `default:"30s" help:"Duration of the measurement."`
}

type failoverCmd struct {
	Rounds int `default:"5" help:"Number of rounds for each kind of loss."`
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
