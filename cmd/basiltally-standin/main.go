// Command basiltally-standin runs stand-ins for the platform in tests and
// demonstrations: the object API with the VM list, and targets.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// version is set by the linker.
var version = "dev"

const description = `Runs stand-ins of the platform on loopback ports: the object API with the VM list, and targets.

Example:

  basiltally-standin --store 127.0.0.1:7000 \
    --targets sheets=3@127.0.0.1:7100,filing=2@127.0.0.1:7200 --keyed sheets \
    --locations south/s1,south/s2,north/n1 \
    --entries vm1=127.0.0.1:7301/south/s1,vm2=127.0.0.1:7302/north/n1

The targets of a pool take consecutive ports and are spread over the locations in turn.
The process stops cleanly on SIGTERM or SIGINT. Exit code 0 is a clean stop, 1 a failure, 80 a usage error.`

func main() {
	var flags Flags
	parser := kong.Parse(&flags,
		kong.Name("basiltally-standin"),
		kong.Description(description),
		kong.Vars{"version": version},
	)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	logger := slog.New(slog.NewTextHandler(os.Stderr, nil))
	parser.FatalIfErrorf(run(ctx, flags, logger))
}
