package main

import (
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/configcheck"
	"github.com/basiltally/basiltally/result"
)

type configGroup struct {
	Check configCheckCmd `cmd:"" help:"Check a configuration before it is sent. Exit code 0 without errors or warnings, 1 with any, 2 for wrong usage or a file that cannot be read."`
}

type configCheckCmd struct {
	File    string `arg:"" type:"existingfile" help:"The document (JSON), or the stored object with it as its spec; - is standard input."`
	Against string `type:"existingfile" placeholder:"FILE" help:"The document in force, to compare with; - is standard input."`
	Format  string `enum:"text,json" default:"text" help:"Output: text or json. The flag --json stands for json, too."`
}

// errFindings makes config check exit with operator.ExitFindings.
var errFindings = errors.New("errors or warnings found")

// stdin stands for standard input in place of a file name.
const stdin = "-"

func readDocument(name string) ([]byte, error) {
	if name == stdin {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

func (c *configCheckCmd) Run(a *app) error {
	if c.File == stdin && c.Against == stdin {
		return result.New(result.BadRequest, "only one of the two files can be standard input")
	}
	document, err := readDocument(c.File)
	if err != nil {
		return result.Wrap(result.BadRequest, err, "read configuration")
	}
	var inForce []byte
	if c.Against != "" {
		if inForce, err = readDocument(c.Against); err != nil {
			return result.Wrap(result.BadRequest, err, "read configuration in force")
		}
	}
	report := configcheck.Check(document, inForce)
	a.json = a.json || c.Format == "json"
	err = a.print(report, func(w io.Writer) error {
		_, err := io.WriteString(w, report.Text())
		return err
	})
	if err != nil {
		return err
	}
	if !report.OK() {
		return errFindings
	}
	return nil
}
