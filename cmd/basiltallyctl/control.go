package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/assign"
	"github.com/basiltally/basiltally/assigner"
	"github.com/basiltally/basiltally/operator"
	"github.com/basiltally/basiltally/result"
)

type statusCmd struct{}

func (*statusCmd) Run(a *app) error {
	answers, err := a.answers()
	if err != nil {
		return err
	}
	return a.print(answers, func(w io.Writer) error { return operator.WriteStatus(w, answers) })
}

type groupsCmd struct{}

func (*groupsCmd) Run(a *app) error {
	answers, err := a.answers()
	if err != nil {
		return err
	}
	return a.print(operator.SummarizeGroups(answers), func(w io.Writer) error { return operator.WriteGroups(w, answers) })
}

// answers asks all processes; it is an error if none answers.
func (a *app) answers() ([]operator.Answer, error) {
	c, err := a.client()
	if err != nil {
		return nil, err
	}
	answers := c.StatusAll(context.Background())
	for _, one := range answers {
		if one.Status != nil {
			return answers, nil
		}
	}
	return nil, result.New(result.StoreUnavailable, "none of %d assign processes answered; %s: %s", len(answers), answers[0].Address, answers[0].Error)
}

type explainCmd struct {
	Pool string `arg:"" help:"Keyed pool of the bundle."`
	Key  string `arg:"" help:"Key, as it stands in the request's path."`
}

func (e *explainCmd) Run(a *app) error {
	reply, err := a.command(assigner.CommandExplain, e.Pool, e.Key)
	if err != nil {
		return err
	}
	var x assigner.Explanation
	if err := json.Unmarshal(reply.Data, &x); err != nil {
		return errors.Wrap(err, "answer")
	}
	return a.print(x, func(w io.Writer) error {
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintf(t, "key\t%s (pool %s)\ngroup\t%s\nslot\t%d\npinned\t%v\nowner\t%s\naddress\t%s\ntoken\t%s\nassigner\t%s\nwhy\t%s\n",
			x.Key, x.Pool, x.Group, x.Slot, x.Pinned, x.Owner, x.Address, x.Token, x.Assigner, x.Why)
		return t.Flush()
	})
}

type moveCmd struct {
	Group  string `arg:"" help:"Group of the slot."`
	Slot   uint32 `arg:"" help:"Number of the slot; explain tells that of a key."`
	Target string `arg:"" help:"Target that shall own the slot."`
}

func (m *moveCmd) Run(a *app) error {
	return a.change(assigner.CommandMove, m.Group, strconv.FormatUint(uint64(m.Slot), 10), m.Target)
}

type pinCmd struct {
	Pool   string `arg:"" help:"Keyed pool of the bundle."`
	Key    string `arg:"" help:"Key, as it stands in the request's path."`
	Target string `arg:"" optional:"" help:"Target that shall own the key; default: the group's assigner chooses."`
}

func (p *pinCmd) Run(a *app) error {
	args := []string{p.Pool, p.Key}
	if p.Target != "" {
		args = append(args, p.Target)
	}
	return a.change(assigner.CommandPin, args...)
}

type unpinCmd struct {
	Pool string `arg:"" help:"Keyed pool of the bundle."`
	Key  string `arg:"" help:"Key, as it stands in the request's path."`
}

func (u *unpinCmd) Run(a *app) error { return a.change(assigner.CommandUnpin, u.Pool, u.Key) }

type drainCmd struct {
	Target string `arg:"" help:"Target that shall take no new work."`
}

func (d *drainCmd) Run(a *app) error { return a.change(assigner.CommandDrain, d.Target) }

type undrainCmd struct {
	Target string `arg:"" help:"Target that shall take work again."`
}

func (u *undrainCmd) Run(a *app) error { return a.change(assigner.CommandUndrain, u.Target) }

type candCmd struct {
	Add    candAddCmd    `cmd:"" help:"Add a VM to a group's candidates. Keep their number odd."`
	Remove candRemoveCmd `cmd:"" help:"Remove a VM from a group's candidates."`
}

type candAddCmd struct {
	Group string `arg:"" help:"Group."`
	VM    string `arg:"" name:"vm" help:"VM."`
}

func (c *candAddCmd) Run(a *app) error {
	return a.change(assigner.CommandAddCandidate, c.Group, c.VM)
}

type candRemoveCmd candAddCmd

func (c *candRemoveCmd) Run(a *app) error {
	return a.change(assigner.CommandRemoveCandidate, c.Group, c.VM)
}

type forceCmd struct {
	Group  string   `arg:"" help:"Group that has no assigner."`
	VMs    []string `arg:"" name:"vms" help:"New candidates of the group, most preferred first."`
	At     string   `required:"" placeholder:"HOST:PORT" help:"Operators' address of the assign process that shall take over."`
	Accept bool     `name:"yes-i-accept-that-keys-may-have-two-owners" help:"Confirms the risk."`
}

const forceRisk = `force-takeover of group %s takes the group without the majority of its candidates.
Risk: %s.
Make sure that every lost candidate is off, or cut off from all targets, before
you go on. Then repeat the command with
  --yes-i-accept-that-keys-may-have-two-owners`

func (f *forceCmd) Run(a *app) error {
	if !f.Accept {
		return result.New(result.ConfirmationNeeded, forceRisk, f.Group, assign.ForceConfirmation)
	}
	a.settings.Addresses = []string{f.At}
	return a.change(assigner.CommandForceTakeOver, append([]string{f.Group, assign.ForceConfirmation}, f.VMs...)...)
}

// Names of the quarantine's commands at the assign process.
const (
	commandQuarantineList    = "quarantine-list"
	commandQuarantineRelease = "quarantine-release"
)

type quarantineGroup struct {
	List    quarantineListCmd    `cmd:"" help:"List quarantined requests."`
	Release quarantineReleaseCmd `cmd:"" help:"Let a quarantined request run again."`
}

type quarantineListCmd struct{}

func (*quarantineListCmd) Run(a *app) error {
	reply, err := a.command(commandQuarantineList)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.out, "%s\n", reply.Data)
	return err
}

type quarantineReleaseCmd struct {
	Fingerprint string `arg:"" help:"Fingerprint, as listed."`
}

func (q *quarantineReleaseCmd) Run(a *app) error {
	return a.change(commandQuarantineRelease, q.Fingerprint)
}

func (a *app) command(name string, args ...string) (operator.Reply, error) {
	c, err := a.client()
	if err != nil {
		return operator.Reply{}, err
	}
	return c.Command(context.Background(), name, args...)
}

// change runs a command that changes something and prints that it is durable.
func (a *app) change(name string, args ...string) error {
	reply, err := a.command(name, args...)
	if err != nil {
		return err
	}
	return a.print(reply, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "done; table version %d\n", reply.Version)
		return err
	})
}
