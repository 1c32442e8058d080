// Command basiltally-demo starts the whole system on loopback ports, sends
// requests of all classes, prints who answered and stops everything.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/basiltally/basiltally/demo"
)

type commandLine struct {
	Binaries string `default:"bin" help:"Directory of the built binaries."`
	BasePort int    `default:"17000" help:"First loopback port."`
	VMs      int    `default:"3" name:"vms" help:"VMs of the system."`
	Verbose  bool   `help:"Show the logs of all processes."`
}

func main() {
	var cli commandLine
	k := kong.Parse(&cli, kong.Description("Starts the whole system with stand-ins, sends requests of all classes and stops it. Exit code 0 if every answer was right."))
	k.FatalIfErrorf(run(&cli))
}

func run(cli *commandLine) error {
	o := demo.Options{Binaries: cli.Binaries, BasePort: cli.BasePort, VMs: cli.VMs}
	if cli.Verbose {
		o.Log = os.Stderr
	}
	c, err := demo.Start(o)
	if err != nil {
		return err
	}
	tourErr := c.Tour(os.Stdout)
	if err := c.Stop(); err != nil && tourErr == nil {
		tourErr = err
	}
	if tourErr == nil {
		fmt.Println("stopped cleanly: no process is left running")
	}
	return tourErr
}
