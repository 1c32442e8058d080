package pb_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	_ "github.com/basiltally/basiltally/pb"
)

var (
	messageLine = regexp.MustCompile(`^message (\w+) \{`)
	fieldLine   = regexp.MustCompile(`^\s+(?:repeated |optional )?\w+ (\w+) = (\d+);`)
	lineEnd     = regexp.MustCompile(`\r?\n`)
)

// TestGeneratedCodeMatchesTheSources compares the fields of every message with
// the committed code, so that CI needs no protoc to find code out of date.
func TestGeneratedCodeMatchesTheSources(t *testing.T) {
	is := is.New(t)
	sources, err := filepath.Glob("../proto/basiltally/v1/*.proto")
	is.NoErr(err)
	is.True(len(sources) > 0)
	for _, source := range sources {
		text, err := os.ReadFile(source)
		is.NoErr(err)
		generated, err := protoregistry.GlobalFiles.FindFileByPath("basiltally/v1/" + filepath.Base(source))
		is.NoErr(err)
		is.Equal(declared(string(text)), compiled(generated))
	}
}

// declared lists "message.field=number" of a source in order. The sources nest
// no messages.
func declared(text string) []string {
	var out []string
	message := ""
	for _, line := range lineEnd.Split(text, -1) {
		if m := messageLine.FindStringSubmatch(line); m != nil {
			message = m[1]
		}
		if line == "}" {
			message = ""
		}
		if f := fieldLine.FindStringSubmatch(line); f != nil && message != "" {
			out = append(out, fmt.Sprintf("%s.%s=%s", message, f[1], f[2]))
		}
	}
	sort.Strings(out)
	return out
}

func compiled(f protoreflect.FileDescriptor) []string {
	var out []string
	for i := range f.Messages().Len() {
		m := f.Messages().Get(i)
		for j := range m.Fields().Len() {
			field := m.Fields().Get(j)
			out = append(out, fmt.Sprintf("%s.%s=%d", m.Name(), field.Name(), field.Number()))
		}
	}
	sort.Strings(out)
	return out
}
