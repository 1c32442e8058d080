// Package lint checks rules of the whole tree that no linter knows.
package lint

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// boundedByContext lists the functions whose dialers have no timeout of their own, with the test of the bound that their
// callers set on the context.
var boundedByContext = map[string]string{
	"upstream.New":     "upstream.TestSilentDialEndsAtDialTimeout",
	"dispatch.dialTCP": "dispatch.TestSilentDialEndsAtDialTimeout",
}

// unboundedDial describes a dial without a timeout in the node, or is empty.
func unboundedDial(node ast.Node) string {
	switch n := node.(type) {
	case *ast.CallExpr:
		switch name := qualified(n.Fun); name {
		case "net.Dial", "net.DialTCP", "net.DialUnix", "tls.Dial", "fasthttp.Dial", "fasthttp.DialDualStack":
			return name + " has no timeout"
		case "new":
			if len(n.Args) == 1 && qualified(n.Args[0]) == "net.Dialer" {
				return "net.Dialer without Timeout"
			}
		}
	case *ast.ValueSpec:
		if qualified(n.Type) == "net.Dialer" {
			return "net.Dialer without Timeout"
		}
	case *ast.CompositeLit:
		return unboundedLiteral(n)
	}
	return ""
}

func unboundedLiteral(lit *ast.CompositeLit) string {
	set := map[string]string{}
	for _, element := range lit.Elts {
		if kv, ok := element.(*ast.KeyValueExpr); ok {
			set[qualified(kv.Key)] = qualified(kv.Value)
		}
	}
	_, hasTimeout := set["Timeout"]
	_, hasDialer := set["NetDialer"]
	_, hasDial := set["Dial"]
	_, hasDialTimeout := set["DialTimeout"]
	_, hasDialContext := set["DialContext"]
	switch name := qualified(lit.Type); {
	case name == "net.Dialer" && !hasTimeout:
		return "net.Dialer without Timeout"
	case name == "tls.Dialer" && !hasDialer:
		return "tls.Dialer without NetDialer"
	case name == "http.Transport" && !hasDialContext:
		return "http.Transport without DialContext"
	case (name == "fasthttp.HostClient" || name == "fasthttp.Client") && !hasDial && !hasDialTimeout:
		return name + " without Dial or DialTimeout"
	case strings.HasPrefix(set["DialTimeout"], "fasthttp.Dial"):
		return set["DialTimeout"] + " fails at once for a call that waited for a connection"
	}
	return ""
}

// qualified returns the text of an identifier, with that of its package, or an empty string for other expressions.
func qualified(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.SelectorExpr:
		if x, ok := e.X.(*ast.Ident); ok {
			return x.Name + "." + e.Sel.Name
		}
	}
	return ""
}

// unboundedDials returns the dials without a timeout in a file, with their places.
func unboundedDials(name string, source any) ([]string, error) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, name, source, 0)
	if err != nil {
		return nil, err
	}
	var found []string
	for _, decl := range file.Decls {
		if fn, ok := decl.(*ast.FuncDecl); ok && boundedByContext[file.Name.Name+"."+fn.Name.Name] != "" {
			continue
		}
		ast.Inspect(decl, func(n ast.Node) bool {
			if text := unboundedDial(n); text != "" {
				found = append(found, fmt.Sprintf("%s: %s", files.Position(n.Pos()), text))
			}
			return true
		})
	}
	return found, nil
}

// Orders to an instance that was out of reach waited up to 8 s longer than the cut, on a dial without a timeout.
func TestEveryDialHasATimeout(t *testing.T) {
	is := is.New(t)
	root := os.DirFS("..")
	is.NoErr(fs.WalkDir(root, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		// The reviewers' programs are not ours.
		if entry.IsDir() && (path == "review" || path != "." && strings.HasPrefix(entry.Name(), ".")) {
			return fs.SkipDir
		}
		if entry.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		source, err := fs.ReadFile(root, path)
		if err != nil {
			return err
		}
		found, err := unboundedDials(path, source)
		for _, f := range found {
			t.Error(f)
		}
		return err
	}))
}

func TestUnboundedDialsAreFound(t *testing.T) {
	for text, unbounded := range map[string]bool{
		`net.Dial("tcp", a)`:                                         true,
		`net.DialTimeout("tcp", a, time.Second)`:                     false,
		`var d net.Dialer`:                                           true,
		`new(net.Dialer).Dial("tcp", a)`:                             true,
		`_ = net.Dialer{KeepAlive: 1}`:                               true,
		`_ = net.Dialer{Timeout: 1}`:                                 false,
		`_ = &tls.Dialer{Config: c}`:                                 true,
		`_ = &tls.Dialer{NetDialer: d}`:                              false,
		`_ = &http.Transport{}`:                                      true,
		`_ = &http.Transport{DialContext: d}`:                        false,
		`_ = fasthttp.Client{}`:                                      true,
		`_ = fasthttp.Client{Dial: d}`:                               false,
		`_ = fasthttp.HostClient{DialTimeout: c.dial}`:               false,
		`_ = fasthttp.HostClient{DialTimeout: fasthttp.DialTimeout}`: true,
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			found, err := unboundedDials("a.go", "package a\nfunc f() {\n"+text+"\n}")
			is.NoErr(err)
			is.Equal(slices.Contains([]int{1}, len(found)), unbounded)
		})
	}
}
