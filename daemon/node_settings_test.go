package daemon

import (
	"testing"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/platform"
	"github.com/basiltally/basiltally/settings"
)

// Guards against refusals by priority in deployments that do not ask for them.
func TestOverloadIsOnWhereAskedFor(t *testing.T) {
	for text, want := range map[string]bool{
		"":                  false,
		"contracts =":       false,
		"contracts = other": false,
		"contracts = other," + platform.ContractOverload: true,
		"contracts = " + platform.ContractOverload + "s": false,
		"enabled = true":                 true,
		"enabled = false\ncontracts = x": false,
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			var s struct {
				Overload OverloadSettings `ini:"overload"`
			}
			is.NoErr(settings.Parse("node.ini", []byte("[overload]\n"+text+"\n"), &s))
			is.Equal(s.Overload.on(), want)
		})
	}
}
