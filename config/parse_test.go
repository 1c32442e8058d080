package config_test

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/config"
	"github.com/basiltally/basiltally/settings"
)

const validBundle = `
[bundle]
version = 3
[pool "p"]
keyed = true
groups = g
target_slots = 6
target_connections = 10
[tenant "t"]
[class "t/c"]
kind = keyed-read
path_prefix = /c/
pool = p
`

func TestParseExamples(t *testing.T) {
	for _, name := range []string{"wales", "slovakia"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile("../examples/" + name + "/bundle.ini")
			is.NoErr(err)
			b, err := config.Parse("bundle.ini", data)
			is.NoErr(err)
			is.Equal(len(b.Pools), 3)
			again, err := config.Parse("bundle.ini", config.Format(b))
			is.NoErr(err)
			is.True(reflect.DeepEqual(b, again)) // the canonical form holds the same bundle
		})
	}
}

func TestParseReportsError(t *testing.T) {
	cases := []struct{ name, old, replace, want string }{
		{"class without a pool", "pool = p", "", `[class "t/c"] pool: required, but missing`},
		{"unknown pool", "pool = p", "pool = q", `[class "t/c"] pool: unknown pool "q"`},
		{"keyed class, pool without keys", "keyed = true", "keyed = false", `keyed class on pool "p"`},
		{"slots over connections", "target_slots = 6", "target_slots = 11", "11 slots exceed the 10 connections"},
		{"no tenant", `[tenant "t"]`, "", "no tenant"},
		{"no version", "version = 3", "", "[bundle] version: required"},
		{"version zero", "version = 3", "version = 0", "outside the range"},
		{"unknown key", "keyed = true", "keyed = true\nowner = x", `[pool "p"] owner: unknown key`},
		{"unknown section", `[tenant "t"]`, "[tenant \"t\"]\n[other]", "[other]: unknown section"},
		{"duplicate key", "version = 3", "version = 3\nversion = 3", "duplicate key"},
		{"duplicate section", `[tenant "t"]`, "[tenant \"t\"]\n[tenant \"t\"]", "duplicate section"},
		{"class of unknown tenant", `"t/c"`, `"u/c"`, `unknown tenant "u"`},
		{"duplicate prefix", "pool = p", "pool = p\n[class \"t/d\"]\nkind = keyed-read\npath_prefix = /c/\npool = p", "already the prefix"},
		{"group twice", "groups = g", "groups = g, g", `group "g" already belongs`},
		{"unused pool", "pool = p", "pool = p\n[pool \"q\"]\ngroups = h\ntarget_slots = 1\ntarget_connections = 1", "no class uses"},
		{"hedged filing", "kind = keyed-read", "kind = at-most-once\nhedge = true", "only keyed-read"},
		{"prefix without slash", "/c/", "/c", "starts and ends with a slash"},
		{"rate without burst", "pool = p", "pool = p\nrate = 5", "needs a burst"},
		{"line without key", "keyed = true", "keyed", "line 5: want key = value"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := config.Parse("b.ini", []byte(strings.Replace(validBundle, c.old, c.replace, 1)))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want)) // the error states the reason
			if !strings.HasPrefix(err.Error(), "b.ini: ") {
				t.Errorf("error does not start with the file name: %q", err)
			}
		})
	}
	_, err := config.Parse("b.ini", []byte(validBundle))
	is.New(t).NoErr(err)
}

func TestParseReportsAllErrorsAtOnce(t *testing.T) {
	is := is.New(t)
	doc := strings.NewReplacer("pool = p", "pool = q", "version = 3", "version = x", "keyed = true", "nonsense").Replace(validBundle)
	_, err := config.Parse("b.ini", []byte(doc))
	var list settings.Errors
	is.True(errors.As(err, &list))
	is.Equal(len(list), 4) // malformed line, version, unknown pool, unused pool
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validBundle))
	f.Add([]byte("[bundle]\nversion = \"1\"\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := config.Parse("b.ini", data)
		if err != nil {
			return
		}
		again, err := config.Parse("b.ini", config.Format(b))
		if err != nil {
			t.Fatalf("Parse failed on the canonical form: %v", err)
		}
		if !reflect.DeepEqual(b, again) {
			t.Fatalf("bundle parsed from the canonical form differs: want %+v, got %+v", b, again)
		}
	})
}
