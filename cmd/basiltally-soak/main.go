// Command basiltally-soak runs the built programs as processes on loopback, disturbs them
// at random from a seed and checks the system's promises. It exits with code 1 if a promise
// was broken.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/basiltally/basiltally/standin/soak"
)

var cli struct {
	Seeds    []uint64      `help:"Seeds to run, one after the other; default: random seeds."`
	Count    int           `help:"Number of random seeds to run if no seeds are given." default:"1"`
	Nodes    int           `help:"Number of VMs." default:"4"`
	Targets  int           `help:"Number of targets of each of the two services." default:"4"`
	Callers  int           `help:"Number of callers of each VM." default:"3"`
	Length   time.Duration `help:"Time during which new disturbances are started." default:"12s"`
	HardLoad bool          `help:"Add evacuations, cold and slow targets, restricted routes, slow callers and a hostile target."`
	Only     []string      `help:"Names of the disturbances to play, as the log has them, \"statements\" and \"crashing request\" included; default: all."`
	Binaries string        `help:"Directory of the built programs." default:"bin" type:"existingdir"`
}

func main() {
	k := kong.Parse(&cli, kong.Name("basiltally-soak"), kong.Description("Randomized soak of the real programs under faults."))
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	seeds := cli.Seeds
	for len(cli.Seeds) == 0 && len(seeds) < cli.Count {
		seeds = append(seeds, rand.Uint64N(1<<32))
	}
	failed := 0
	for _, seed := range seeds {
		broken, err := soak.Run(ctx, seed, soak.Options{
			Binaries: cli.Binaries, Nodes: cli.Nodes, Targets: cli.Targets, Callers: cli.Callers, Length: cli.Length, HardLoad: cli.HardLoad,
			Only: cli.Only, Out: os.Stdout,
		})
		k.FatalIfErrorf(err)
		for _, b := range broken {
			fmt.Printf("seed %d: BROKEN %s\n", seed, b)
		}
		if len(broken) > 0 {
			failed++
		}
		if ctx.Err() != nil {
			break
		}
	}
	if failed > 0 {
		fmt.Printf("%d of %d seeds broke a promise\n", failed, len(seeds))
		os.Exit(1)
	}
}
