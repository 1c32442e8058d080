// Command basiltallyctl is the operators' command-line client.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/user"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/bundle"
	"github.com/basiltally/basiltally/operator"
	"github.com/basiltally/basiltally/result"
	"github.com/basiltally/basiltally/settings"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/objectapi"
	"github.com/basiltally/basiltally/telemetry"
)

const description = `Operators' client of basiltally.

Commands go to the operators' addresses of the assign processes; any of them
passes a command on to the right one. Bundles are rolled forward in the object
API itself. Addresses and keys come from a settings file (--settings) or flags.

Exit codes:
  0  done
  1  unexpected error, outcome unknown; config check: errors or warnings found
  2  wrong usage, settings or bundle; nothing was changed
  3  refused; nothing was changed
  4  outcome unknown: the command may have taken effect, check before repeating
  5  store or processes out of reach; nothing was changed
  6  confirmation needed; nothing was changed
  7  bundle status: some process lacks the accepted version

Errors go to standard error with their result code, see docs/RESULT-CODES.md.`

type commandLine struct {
	Settings     string           `type:"path" env:"BASILTALLYCTL_SETTINGS" help:"Settings file (INI); see --print-defaults."`
	Address      []string         `placeholder:"HOST:PORT" help:"Operators' address of an assign process; may be given several times."`
	Store        string           `placeholder:"HOST:PORT" help:"Address of the object API."`
	ApproversDir string           `type:"path" help:"Directory of the approvers' public keys."`
	Approvals    int              `help:"Number of approvals that a bundle needs."`
	Operator     string           `help:"Your name as shown in the history; default: the login name."`
	JSON         bool             `name:"json" help:"Print JSON instead of tables."`
	Defaults     printDefaults    `name:"print-defaults" help:"Print a settings file with all keys and their defaults, and exit."`
	Version      kong.VersionFlag `help:"Print the version and exit."`

	Status        statusCmd        `cmd:"" help:"Show processes and groups."`
	Groups        groupsCmd        `cmd:"" help:"Show the groups: assigner, term, slots without an owner, lost targets."`
	Explain       explainCmd       `cmd:"" help:"Show which target owns a key, and why."`
	Move          moveCmd          `cmd:"" help:"Move a slot to a target."`
	Pin           pinCmd           `cmd:"" help:"Give a hot key a slot of its own, owned by the given target if any."`
	Unpin         unpinCmd         `cmd:"" help:"Return a pinned key to its hashed slot."`
	Drain         drainCmd         `cmd:"" help:"Give a target no new work, let it finish its work, and take its slots away."`
	Undrain       undrainCmd       `cmd:"" help:"Give work to a drained target again."`
	Candidate     candidateCmd     `cmd:"" name:"candidate" help:"Add or remove a VM that may assign a group."`
	ForceTakeover forceTakeoverCmd `cmd:"" name:"force-takeover" help:"Take a group over without a majority of its candidates. Dangerous."`
	Quarantine    quarantineGroup  `cmd:"" name:"quarantine" help:"List or release requests that are refused because they caused targets to crash."`
	Bundle        bundleGroup      `cmd:"" help:"Check, sign and roll forward configuration bundles."`
	Config        configGroup      `cmd:"" help:"Check configurations of basiltally-node."`
}

// printDefaults is a flag that prints a settings file with the defaults and ends the program.
type printDefaults bool

// BeforeReset implements the hook that kong calls when the flag is given.
func (printDefaults) BeforeReset(k *kong.Kong) error {
	if err := settings.PrintDefaults(k.Stdout, &operator.Settings{}); err != nil {
		return err
	}
	k.Exit(operator.ExitOK)
	return nil
}

// app holds the settings and the outputs of a command.
type app struct {
	settings operator.CtlSettings
	operator string
	json     bool
	out      io.Writer
	// errs receives warnings.
	errs io.Writer
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes one command line and returns the exit code.
func run(args []string, stdout, stderr io.Writer) (code int) {
	var cli commandLine
	parser, err := kong.New(&cli, kong.Name("basiltallyctl"), kong.Description(description), kong.Writers(stdout, stderr),
		kong.Exit(func(c int) { panic(exitCode(c)) }), kong.Vars{"version": telemetry.Version()})
	if err != nil {
		fmt.Fprintln(stderr, err)
		return operator.ExitInternal
	}
	defer func() {
		if r := recover(); r != nil {
			c, ok := r.(exitCode)
			if !ok {
				panic(r)
			}
			code = int(c)
		}
	}()
	command, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(stderr, "basiltallyctl: %v; see --help\n", err)
		return operator.ExitInput
	}
	a, err := newApp(&cli, stdout, stderr)
	if err == nil {
		err = command.Run(a)
	}
	var lagging laggingError
	if errors.As(err, &lagging) {
		return operator.ExitLagging
	}
	if errors.Is(err, errFindings) {
		return operator.ExitFindings
	}
	if err != nil {
		fmt.Fprintf(stderr, "basiltallyctl: %v\n", err)
	}
	return operator.ExitCode(err)
}

// exitCode is the panic value with which kong's exit hook ends run, e.g. after --help.
type exitCode int

func newApp(cli *commandLine, out, errs io.Writer) (*app, error) {
	var s operator.Settings
	load := func() error { return settings.SetDefaults(&s) }
	if cli.Settings != "" {
		load = func() error { return settings.Load(cli.Settings, &s) }
	}
	if err := load(); err != nil {
		return nil, result.Wrap(result.InvalidSettings, err, "load settings")
	}
	a := &app{settings: s.Ctl, operator: cli.Operator, json: cli.JSON, out: out, errs: errs}
	if len(cli.Address) > 0 {
		a.settings.Addresses = cli.Address
	}
	if cli.Store != "" {
		a.settings.Store = cli.Store
	}
	if cli.ApproversDir != "" {
		a.settings.ApproversDir = cli.ApproversDir
	}
	if cli.Approvals > 0 {
		a.settings.Approvals = cli.Approvals
	}
	return a, nil
}

func (a *app) client() (*operator.Client, error) {
	if len(a.settings.Addresses) == 0 {
		return nil, result.New(result.InvalidSettings, "no address of an assign process: give --address or addresses in the settings file")
	}
	return operator.NewClient(operator.Options{Addresses: a.settings.Addresses, Entries: a.settings.Entries}), nil
}

func (a *app) store() (store.Store, error) {
	if a.settings.Store == "" {
		return nil, result.New(result.InvalidSettings, "no address of the object API: give --store or store in the settings file")
	}
	return objectapi.New(objectapi.Options{Address: a.settings.Store}), nil
}

func (a *app) policy() (*bundle.Policy, error) {
	if a.settings.ApproversDir == "" {
		return nil, result.New(result.InvalidSettings, "no public keys: give --approvers-dir or approvers_dir in the settings file")
	}
	p, err := bundle.LoadPolicy(a.settings.ApproversDir, a.settings.Approvers, a.settings.Approvals)
	if err != nil {
		return nil, result.Wrap(result.InvalidSettings, err, "load approvers")
	}
	return p, nil
}

func (a *app) operatorName() (string, error) {
	if a.operator != "" {
		return a.operator, nil
	}
	u, err := user.Current()
	if err != nil || u.Username == "" {
		return "", result.New(result.InvalidSettings, "cannot determine the login name; give --operator")
	}
	return u.Username, nil
}

// print writes v as JSON if --json is given, and otherwise calls table.
func (a *app) print(v any, table func(io.Writer) error) error {
	if !a.json {
		return table(a.out)
	}
	enc := json.NewEncoder(a.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
