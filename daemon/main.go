package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/basiltally/basiltally/settings"
	"github.com/basiltally/basiltally/telemetry"
)

// Exit codes of the processes.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitSettings = 2
	// ExitForced means that SIGINT arrived during a graceful stop.
	ExitForced = 3
)

type commandLine struct {
	Settings      string           `arg:"" optional:"" type:"path" help:"Settings file (INI)."`
	Check         bool             `help:"Check the settings file and exit: 0 if it is valid, 2 if not."`
	PrintDefaults bool             `help:"Print a settings file with all keys, their defaults, units and ranges."`
	Version       kong.VersionFlag `help:"Print the version and exit."`
}

const description = `Exit codes: 0 clean stop, 1 failure, 2 wrong settings, 3 stopped by SIGINT during a stop.

SIGTERM or SIGINT stops gracefully: no new work, everything in flight is
finished. SIGTERM again changes nothing; SIGINT during a stop ends the process at
once and cuts off what is in flight.`

// Main parses the command line, loads the settings file into s and calls run. It ends the
// process with one of the exit codes above if that fails.
func Main[S any](name string, s *S, run func(context.Context, *S) error) {
	MainReloading(name, s, func(ctx context.Context, s *S, _ func() (*S, error)) error { return run(ctx, s) })
}

// MainReloading is like Main, for a process that applies changed settings while it runs.
// The function that run receives reads and checks the settings file again.
func MainReloading[S any](name string, s *S, run func(context.Context, *S, func() (*S, error)) error) {
	holdHangups()
	var cli commandLine
	k := kong.Parse(&cli, kong.Name(name), kong.Description(description), kong.Vars{"version": telemetry.Version()})
	if cli.PrintDefaults {
		k.FatalIfErrorf(settings.PrintDefaults(os.Stdout, s))
		return
	}
	if cli.Settings == "" {
		k.Fatalf("expected a settings file; see --help")
	}
	if err := settings.Load(cli.Settings, s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitSettings)
	}
	if cli.Check {
		fmt.Printf("%s: ok\n", cli.Settings)
		return
	}
	reload := func() (*S, error) {
		next := new(S)
		return next, settings.Load(cli.Settings, next)
	}
	if err := run(signalContext(), s, reload); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(ExitFailure)
	}
}

// holdHangups keeps a SIGHUP from ending the process, which is the default, before its handler is set. The settings
// are read after that, and a process that reloads them also does so without a signal.
func holdHangups() { signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) }

// signalContext returns a context that ends at the first SIGTERM or SIGINT. A later SIGINT
// ends the process at once. A later SIGTERM is ignored, since whoever stops the process may
// send it more than once.
func signalContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		for s := range signals {
			if s == syscall.SIGINT {
				os.Exit(ExitForced)
			}
		}
	}()
	return ctx
}
