package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/bundle"
	"github.com/basiltally/basiltally/config"
	"github.com/basiltally/basiltally/operator"
	"github.com/basiltally/basiltally/result"
	"github.com/basiltally/basiltally/store"
)

const (
	// storeTimeout bounds reads of the store.
	storeTimeout = 10 * time.Second
	// rollTimeout bounds a roll-forward with all its retries.
	rollTimeout = 60 * time.Second
	// currentName stands for the accepted version where a file is expected.
	currentName = "current"
)

type bundleGroup struct {
	Check   bundleCheckCmd   `cmd:"" help:"Check a document, or a signed bundle with its approvals."`
	Keygen  bundleKeygenCmd  `cmd:"" help:"Make a key pair for an approver: NAME.key and NAME.pub."`
	Sign    bundleSignCmd    `cmd:"" help:"Approve a document, or add an approval to a signed bundle."`
	Diff    bundleDiffCmd    `cmd:"" help:"Show what differs between two bundles, key by key."`
	Roll    bundleRollCmd    `cmd:"" name:"roll-forward" help:"Make a signed bundle the accepted one. May be repeated."`
	Status  bundleStatusCmd  `cmd:"" help:"Show in how many processes the accepted bundle is in force."`
	History bundleHistoryCmd `cmd:"" help:"List the versions in the store, with who wrote them and when."`
}

type bundleCheckCmd struct {
	File string `arg:"" type:"existingfile" help:"Bundle document (INI) or signed bundle."`
}

func (c *bundleCheckCmd) Run(a *app) error {
	signed, parsed, err := readBundleFile(c.File)
	if err != nil {
		return err
	}
	if signed == nil {
		_, err = fmt.Fprintf(a.out, "%s: version %d: ok, not signed\n", filepath.Base(c.File), parsed.Version)
		return err
	}
	policy, err := a.policy()
	if err != nil {
		return err
	}
	if _, err := bundle.Verify(signed, policy); err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.out, "%s: version %d: ok, approved by %s\n", filepath.Base(c.File), signed.Version, approvers(signed))
	return err
}

func approvers(s *bundle.Signed) string {
	names := make([]string, len(s.Approvals))
	for i, approval := range s.Approvals {
		names[i] = approval.Approver
	}
	return strings.Join(names, ", ")
}

type bundleKeygenCmd struct {
	Name string `arg:"" help:"Name of the approver."`
	Dir  string `type:"existingdir" default:"." help:"Directory for the two files."`
}

func (k *bundleKeygenCmd) Run(a *app) error {
	private, public, err := bundle.GenerateKey(k.Dir, k.Name)
	if err != nil {
		return result.Wrap(result.BadRequest, err, "keygen")
	}
	_, err = fmt.Fprintf(a.out, "private key, keep it to yourself: %s\npublic key, for approvers_dir on every VM: %s\n", filepath.Base(private), filepath.Base(public))
	return err
}

type bundleSignCmd struct {
	File        string `arg:"" type:"existingfile" help:"Bundle document (INI) or signed bundle."`
	Approver    string `required:"" help:"Your name as approver."`
	Key         string `required:"" type:"existingfile" help:"Your private key file."`
	Predecessor string `help:"For a document: what it replaces; a signed bundle's file, \"none\", or \"current\" for the store's." default:"current"`
	Out         string `type:"path" help:"Signed bundle to write; default: FILE with the extension .signed."`
}

func (s *bundleSignCmd) Run(a *app) error {
	signed, _, err := readBundleFile(s.File)
	if err != nil {
		return err
	}
	if signed == nil {
		if signed, err = s.newSigned(a); err != nil {
			return err
		}
	}
	key, err := bundle.ReadPrivateKey(s.Key)
	if err != nil {
		return result.Wrap(result.InvalidSettings, err, "private key")
	}
	if err := signed.Sign(s.Approver, key); err != nil {
		return result.Wrap(result.BadRequest, err, "sign")
	}
	out := s.Out
	if out == "" {
		out = strings.TrimSuffix(s.File, filepath.Ext(s.File)) + ".signed"
	}
	data, err := signed.EncodeFile()
	if err != nil {
		return errors.Wrap(err, "signed bundle")
	}
	if err := os.WriteFile(out, data, 0o644); err != nil {
		return errors.Wrap(err, "signed bundle")
	}
	_, err = fmt.Fprintf(a.out, "%s: version %d, digest %s, approved by %s\n", filepath.Base(out), signed.Version, signed.Digest.Short(), approvers(signed))
	return err
}

func (s *bundleSignCmd) newSigned(a *app) (*bundle.Signed, error) {
	document, err := os.ReadFile(s.File)
	if err != nil {
		return nil, errors.Wrap(err, "bundle")
	}
	predecessor, err := s.predecessor(a)
	if err != nil {
		return nil, err
	}
	return bundle.New(s.File, document, predecessor)
}

func (s *bundleSignCmd) predecessor(a *app) (bundle.Digest, error) {
	switch s.Predecessor {
	case "none":
		return bundle.Digest{}, nil
	case currentName:
		st, err := a.store()
		if err != nil {
			return bundle.Digest{}, err
		}
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		current, err := bundle.ReadCurrent(ctx, st)
		return current.Digest, refuseRead(err)
	}
	signed, _, err := readBundleFile(s.Predecessor)
	if err != nil {
		return bundle.Digest{}, err
	}
	if signed == nil {
		return bundle.Digest{}, result.New(result.BadRequest, "%s is not signed", s.Predecessor)
	}
	return signed.Digest, nil
}

type bundleDiffCmd struct {
	Before string `arg:"" help:"File, version number or \"current\"."`
	After  string `arg:"" help:"File, version number or \"current\"."`
}

func (d *bundleDiffCmd) Run(a *app) error {
	before, err := a.openBundle(d.Before)
	if err != nil {
		return err
	}
	after, err := a.openBundle(d.After)
	if err != nil {
		return err
	}
	changes := operator.Diff(before, after)
	return a.print(changes, func(w io.Writer) error { return operator.WriteDiff(w, changes) })
}

// openBundle reads a bundle by file name, version number or "current".
func (a *app) openBundle(name string) (*config.Bundle, error) {
	version, err := strconv.ParseUint(name, 10, 64)
	if err != nil && name != currentName {
		_, parsed, err := readBundleFile(name)
		return parsed, err
	}
	st, err := a.store()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if name == currentName {
		current, err := bundle.ReadCurrent(ctx, st)
		if err != nil {
			return nil, refuseRead(err)
		}
		version = current.Version
	}
	signed, _, err := bundle.ReadVersion(ctx, st, version)
	if errors.Is(err, store.ErrNotFound) {
		return nil, result.New(result.UnknownObject, "the store has no bundle %d", version)
	}
	if err != nil {
		return nil, refuseRead(err)
	}
	return config.Parse(fmt.Sprintf("bundle %d", version), signed.Document)
}

type bundleRollCmd struct {
	File  string `arg:"" type:"existingfile" help:"Signed bundle."`
	Blind bool   `help:"Do not ask the processes for the version in force first."`
}

func (r *bundleRollCmd) Run(a *app) error {
	signed, _, err := readBundleFile(r.File)
	if err != nil {
		return err
	}
	if signed == nil {
		return result.New(result.BadSignature, "%s is not signed; see bundle sign", r.File)
	}
	roller, err := r.roller(a)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), rollTimeout)
	defer cancel()
	if err := roller.RollForward(ctx, signed); err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.out, "version %d (%s) is accepted; bundle status shows where it is in force\n", signed.Version, signed.Digest.Short())
	return err
}

func (r *bundleRollCmd) roller(a *app) (*bundle.Roller, error) {
	policy, err := a.policy()
	if err != nil {
		return nil, err
	}
	st, err := a.store()
	if err != nil {
		return nil, err
	}
	name, err := a.operatorName()
	if err != nil {
		return nil, err
	}
	roller := &bundle.Roller{Store: st, Policy: policy, Operator: name}
	if r.Blind {
		return roller, nil
	}
	c, err := a.client()
	if err != nil {
		return nil, err
	}
	roller.HighestInForce = c.HighestBundleVersion
	return roller, nil
}

// laggingError makes bundle status exit with operator.ExitLagging.
type laggingError struct{}

func (laggingError) Error() string { return "not in force everywhere" }

type bundleStatusCmd struct{}

func (*bundleStatusCmd) Run(a *app) error {
	c, err := a.client()
	if err != nil {
		return err
	}
	report := operator.NewBundleReport(a.acceptedVersion(), c.BundleVersions(context.Background()))
	if err := a.print(report, report.Write); err != nil {
		return err
	}
	if len(report.Lagging) > 0 {
		return laggingError{}
	}
	return nil
}

// acceptedVersion returns the version in the store, or zero with a warning if
// it cannot be read; the processes still tell what they hold then.
func (a *app) acceptedVersion() uint64 {
	st, err := a.store()
	if err == nil {
		var current bundle.Current
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		if current, err = bundle.ReadCurrent(ctx, st); err == nil {
			return current.Version
		}
	}
	fmt.Fprintf(a.errs, "basiltallyctl: compared with the highest version in force, since the store was not read: %v\n", err)
	return 0
}

type bundleHistoryCmd struct{}

// historyLine is one version in the JSON form of the history.
type historyLine struct {
	Version     uint64    `json:"version"`
	Digest      string    `json:"digest"`
	Predecessor string    `json:"predecessor,omitempty"`
	Accepted    bool      `json:"accepted"`
	Operator    string    `json:"operator"`
	Time        time.Time `json:"time"`
	Approvers   string    `json:"approvers"`
}

func (*bundleHistoryCmd) Run(a *app) error {
	st, err := a.store()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	entries, err := bundle.History(ctx, st)
	if err != nil {
		return refuseRead(err)
	}
	lines := make([]historyLine, len(entries))
	for i, e := range entries {
		lines[i] = historyLine{
			Version: e.Signed.Version, Digest: e.Signed.Digest.String(), Accepted: e.Accepted,
			Operator: e.Write.Operator, Time: e.Write.Time, Approvers: approvers(e.Signed),
		}
		if !e.Signed.Predecessor.IsZero() {
			lines[i].Predecessor = e.Signed.Predecessor.String()
		}
	}
	return a.print(lines, func(w io.Writer) error { return writeHistory(w, entries) })
}

func writeHistory(w io.Writer, entries []bundle.HistoryEntry) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "VERSION\tDIGEST\tACCEPTED\tWRITTEN BY\tAT\tAPPROVED BY")
	for _, e := range entries {
		fmt.Fprintf(t, "%d\t%s\t%v\t%s\t%s\t%s\n", e.Signed.Version, e.Signed.Digest.Short(), e.Accepted,
			e.Write.Operator, e.Write.Time.Format(time.RFC3339), approvers(e.Signed))
	}
	return t.Flush()
}

// readBundleFile reads a document, or a signed bundle with its document. Only
// the form of a signed bundle is checked; signed is nil for a document.
func readBundleFile(path string) (*bundle.Signed, *config.Bundle, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, result.Wrap(result.BadRequest, err, "bundle")
	}
	if !bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) {
		parsed, err := config.Parse(filepath.Base(path), data)
		if err != nil {
			return nil, nil, result.Wrap(result.InvalidBundle, err, "errors in the document")
		}
		return nil, parsed, nil
	}
	signed, err := bundle.DecodeFile(data)
	if err != nil {
		return nil, nil, err
	}
	parsed, err := config.Parse(filepath.Base(path), signed.Document)
	if err != nil {
		return nil, nil, result.Wrap(result.InvalidBundle, err, "errors in the document")
	}
	return signed, parsed, nil
}

// refuseRead maps a failed read of the store.
func refuseRead(err error) error {
	var coded *result.Error
	if err == nil || errors.As(err, &coded) {
		return err
	}
	return result.Wrap(result.StoreUnavailable, err, "read of the store")
}
