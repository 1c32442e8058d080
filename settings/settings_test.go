package settings_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/settings"
)

type entry struct {
	Listen  string        `ini:"listen" default:"127.0.0.1:80" doc:"Address for callers."`
	Timeout time.Duration `ini:"timeout" default:"1s" range:"1ms..1m" doc:"Header deadline."`
	Limit   int           `ini:"limit" default:"5" unit:"requests" range:"1..10" doc:"Requests at once."`
	Share   float64       `ini:"share" default:"0.5" range:"0..1" doc:"Share of the link."`
	Debug   bool          `ini:"debug" default:"false" doc:"Log more."`
	Format  string        `ini:"format" default:"text" enum:"text,json" doc:"Form of the log."`
	Peers   []string      `ini:"peers" doc:"Other VMs."`
}

func (e *entry) Validate() error {
	if e.Limit == 9 && e.Debug {
		return settings.Error{Key: "limit", Reason: "clashes with debug"}
	}
	return nil
}

type vm struct {
	ID string `ini:"id" required:"true" doc:"Name of the VM."`
}

type file struct {
	Entry entry `ini:"entry" doc:"Callers' side."`
	VM    vm    `ini:"vm" doc:"This VM."`
}

func TestParse(t *testing.T) {
	is := is.New(t)
	var got file
	is.NoErr(settings.Parse("s.ini", []byte("[vm]\nid = a\n[entry]\ntimeout = 20ms\npeers = x, y\nlisten = \"a # b\"\n"), &got))
	is.Equal(got.VM.ID, "a")
	is.Equal(got.Entry.Timeout, 20*time.Millisecond)
	is.Equal(got.Entry.Limit, 5) // default
	is.Equal(got.Entry.Peers, []string{"x", "y"})
	is.Equal(got.Entry.Listen, "a # b")
}

func TestParseReportsFault(t *testing.T) {
	cases := []struct{ doc, want string }{
		{"limit = 11", "s.ini: [entry] limit: 11 is outside the range 1..10"},
		{"limit = x", `s.ini: [entry] limit: "x": want an integer`},
		{"timeout = 2m", "s.ini: [entry] timeout: 2m0s is outside the range 1ms..1m"},
		{"share = NaN", `s.ini: [entry] share: "NaN": want a number`},
		{"debug = yes", `s.ini: [entry] debug: "yes": want true or false`},
		{"format = xml", `s.ini: [entry] format: "xml": want one of text,json`},
		{"peers = a,,b", "empty element"},
		{"limit = 1\nlimit = 1", "s.ini: [entry] limit: duplicate key"},
		{"limit =\nlimit =", "s.ini: [entry] limit: duplicate key"},
		{"limits = 1", "s.ini: [entry] limits: unknown key"},
		{"[entry]", "s.ini: [entry]: duplicate section"},
		{"[entries]", "s.ini: [entries]: unknown section"},
		{"limit", "s.ini: [entry]: line 4: want key = value"},
		{"listen = `a", "several lines"},
		{"limit = 9\ndebug = true", "s.ini: [entry] limit: clashes with debug"},
		{"[DEFAULT]\nlimit = 1", "reserved section name"},
	}
	for _, c := range cases {
		t.Run(c.doc, func(t *testing.T) {
			err := settings.Parse("s.ini", []byte("[vm]\nid = a\n[entry]\n"+c.doc+"\n"), &file{})
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got %v, want %q", err, c.want)
			}
		})
	}
}

func TestParseReportsAllFaultsAtOnce(t *testing.T) {
	is := is.New(t)
	err := settings.Parse("s.ini", []byte("stray = 1\n[entry]\nlimit = 0\nshare = 2\nfoo = 1\nbar\n[x]\n"), &file{})
	var list settings.Errors
	is.True(errors.As(err, &list))
	is.Equal(len(list), 7) // bar, stray, [x], limit, share, foo, id
}

func TestLoadReportsMissingFile(t *testing.T) {
	var list settings.Errors
	is.New(t).True(errors.As(settings.Load("/nonexistent/s.ini", &file{}), &list))
}

func TestTagsThatAreMalformed(t *testing.T) {
	type badRange struct {
		S struct {
			K int `ini:"k" default:"7" range:"1..5"`
		} `ini:"s"`
	}
	type secret struct {
		S struct {
			K string `ini:"password"`
		} `ini:"s"`
	}
	for _, dst := range []any{&badRange{}, &secret{}, file{}, &struct{ X int }{}} {
		err := settings.Parse("s.ini", nil, dst)
		var list settings.Errors
		is.New(t).True(err != nil && !errors.As(err, &list)) // a fault of the program, not of the file
	}
}

func TestPrintDefaultsLoads(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(settings.PrintDefaults(&out, &file{}))
	is.True(strings.Contains(out.String(), "# Requests at once. (unit: requests; range: 1..10)\nlimit = 5\n"))
	var got, want file
	doc := strings.Replace(out.String(), "# id =", "id = a", 1)
	is.NoErr(settings.Parse("s.ini", []byte(doc), &got))
	is.NoErr(settings.SetDefaults(&want))
	is.Equal(got.Entry, want.Entry)
}

func TestReadSecret(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "key")
	is.NoErr(os.WriteFile(path, []byte("s3\n"), 0o600))
	got, err := settings.ReadSecret(path)
	is.NoErr(err)
	is.Equal(got, "s3")
	is.NoErr(os.Chmod(path, 0o644))
	_, err = settings.ReadSecret(path)
	is.True(err != nil) // readable by others
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[vm]\nid = a\n[entry]\nlimit = 1\n"))
	f.Add([]byte("[entry]\nlisten = \"`\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var got file
		err := settings.Parse("s.ini", data, &got)
		if err == nil && (got.Entry.Limit < 1 || got.Entry.Limit > 10 || got.VM.ID == "") {
			t.Fatalf("accepted %+v", got)
		}
		var list settings.Errors
		if err != nil && (!errors.As(err, &list) || len(list) == 0) {
			t.Fatalf("untyped error %v", err)
		}
	})
}
