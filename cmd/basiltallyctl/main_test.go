package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/operator"
	standin "github.com/basiltally/basiltally/standin/platform"
)

// runCtl runs a command line and returns its exit code and output.
func runCtl(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = run(args, &out, &errs)
	return code, out.String(), errs.String()
}

func TestCommandLine(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.ini")
	if err := os.WriteFile(bad, []byte("[bundle]\nversion = x\nnonsense\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		args string
		code int
		want string
	}{
		{"--help", operator.ExitOK, "Exit codes:"},
		{"--version", operator.ExitOK, "\n"},
		{"--print-defaults", operator.ExitOK, "[ctl]"},
		{"nonsense", operator.ExitInput, "see --help"},
		{"status", operator.ExitInput, "3003 invalid-settings"},
		{"status --address 127.0.0.1:1", operator.ExitUnavailable, "3002 store-unavailable"},
		{"status --settings /nonexistent", operator.ExitInput, "3003 invalid-settings"},
		{"bundle check " + bad, operator.ExitInput, "[bundle] version: \"x\": want an integer"},
		{"bundle check ../../examples/wales/bundle.ini", operator.ExitOK, "version 1: ok, not signed"},
		{"bundle roll-forward ../../examples/wales/bundle.ini", operator.ExitRefused, "3005 bad-signature"},
		{"bundle diff ../../examples/wales/bundle.ini ../../examples/slovakia/bundle.ini", operator.ExitOK, `+ [pool "status"] target_slots = 6`},
		{"force-takeover g vm1 --at 127.0.0.1:1", operator.ExitConfirm, "keys may have two owners"},
	}
	for _, c := range cases {
		t.Run(c.args, func(t *testing.T) {
			is := is.New(t)
			code, stdout, stderr := runCtl(strings.Fields(c.args)...)
			is.Equal(code, c.code)
			is.True(strings.Contains(stdout+stderr, c.want))
			is.Equal(c.code != operator.ExitOK, stderr != "") // stderr receives errors and nothing else
		})
	}
}

func TestSignAndCheck(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	for _, name := range []string{"anna", "ben"} {
		code, _, _ := runCtl("bundle", "keygen", name, "--dir", dir)
		is.Equal(code, operator.ExitOK)
	}
	signed := filepath.Join(dir, "bundle.signed")
	check := []string{"bundle", "check", signed, "--approvers-dir", dir, "--approvals", "2"}
	sign := func(file, name string) {
		code, _, stderr := runCtl("bundle", "sign", file, "--approver", name, "--key", filepath.Join(dir, name+".key"), "--predecessor", "none", "--out", signed)
		is.Equal(code, operator.ExitOK)
		is.Equal(stderr, "")
	}
	sign("../../examples/wales/bundle.ini", "anna")
	code, _, stderr := runCtl(check...)
	is.Equal(code, operator.ExitRefused)
	is.True(strings.Contains(stderr, "1 of 2 needed approvals"))
	sign(signed, "ben")
	code, stdout, _ := runCtl(check...)
	is.Equal(code, operator.ExitOK)
	is.True(strings.Contains(stdout, "approved by anna, ben"))
}

// A script that sends a configuration relies on the exit codes: a check with errors must not look like one without, nor like wrong usage.
func TestConfigCheck(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	const good = standin.MinimalConfig
	write("good", good)
	write("old", strings.Replace(good, `"version":2`, `"version":1`, 1))
	write("bad", `{"version":3}`)
	cases := []struct {
		args, want string
		code       int
	}{
		{"good", "version 2: no findings\n", operator.ExitOK},
		{"good --against old --format json", `"in_force": 1`, operator.ExitOK},
		{"old --against good", "error        configuration: version 1 is not above version 2", operator.ExitFindings},
		{"bad", "warning      configuration: there are no routes", operator.ExitFindings},
		{"bad --format json", `"warnings": 1`, operator.ExitFindings},
		{"- --against -", "only one of the two files", operator.ExitInput},
		{"good --format xml", "--format", operator.ExitInput},
		{"missing", "no such file", operator.ExitInput},
	}
	t.Chdir(dir)
	for _, c := range cases {
		t.Run(c.args, func(t *testing.T) {
			is := is.New(t)
			code, stdout, stderr := runCtl(append([]string{"config", "check"}, strings.Fields(c.args)...)...)
			is.Equal(code, c.code)
			is.True(strings.Contains(stdout+stderr, c.want))
			is.Equal(c.code == operator.ExitInput, stderr != "")
		})
	}
}
