package operator

import (
	"bytes"
	"context"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/basiltally/basiltally/config"
	"github.com/basiltally/basiltally/result"
	"github.com/basiltally/basiltally/settings"
)

// network maps addresses to handlers; other addresses refuse connections.
type network map[string]fasthttp.RequestHandler

func (n network) client(t *testing.T, addresses ...string) *Client {
	t.Helper()
	listeners := make(map[string]*fasthttputil.InmemoryListener)
	for address, handler := range n {
		ln := fasthttputil.NewInmemoryListener()
		listeners[address] = ln
		go fasthttp.Serve(ln, handler)
		t.Cleanup(func() { ln.Close() })
	}
	return NewClient(Options{Addresses: addresses, Dial: func(address string) (net.Conn, error) {
		if ln := listeners[address]; ln != nil {
			return ln.Dial()
		}
		return nil, errors.New("connection refused")
	}})
}

func answer(body string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(body) }
}

// hangUp closes the connection after it has read the request.
func hangUp(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

func TestCommandPassesOverUnreachableProcesses(t *testing.T) {
	is := is.New(t)
	n := network{"b:1": answer(`{"code":0,"version":7}`)}
	reply, err := n.client(t, "a:1", "b:1").Command(t.Context(), "drain", "t1")
	is.NoErr(err)
	is.Equal(reply.Version, uint64(7))
	_, err = n.client(t, "a:1").Command(t.Context(), "drain", "t1")
	is.Equal(ExitCode(err), ExitUnavailable)
}

// TestCommandIsNotRepeated loses the answer and expects that no other process
// is given the command.
func TestCommandIsNotRepeated(t *testing.T) {
	is := is.New(t)
	sent := 0
	n := network{"a:1": hangUp, "b:1": func(*fasthttp.RequestCtx) { sent++ }}
	_, err := n.client(t, "a:1", "b:1").Command(t.Context(), "pin", "p", "k")
	is.Equal(ExitCode(err), ExitUnknown)
	is.Equal(sent, 0)
	n = network{"a:1": answer("<html>")}
	_, err = n.client(t, "a:1").Command(t.Context(), "pin", "p", "k")
	is.Equal(ExitCode(err), ExitUnknown) // a damaged answer says nothing either
}

func TestCommandReportsRefusal(t *testing.T) {
	is := is.New(t)
	n := network{"a:1": answer(`{"code":3007,"detail":"no group has a target x"}`)}
	_, err := n.client(t, "a:1").Command(t.Context(), "drain", "x")
	is.Equal(err.Error(), "3007 unknown-object: no group has a target x")
	is.Equal(ExitCode(err), ExitRefused)
}

const (
	vm1 = `{"vm":"vm1","bundle_version":4,"vms":3,"groups":[{"group":"g","assigning":true,"assigner":"vm1","term":2,"seq":9,"slots":8,"unowned":1,"targets":3,"lost":1}]}`
	vm2 = `{"vm":"vm2","bundle_version":3,"vms":3,"groups":[{"group":"g","assigner":"vm3","term":1,"seq":99,"slots":8,"targets":3}]}`
	vm3 = `{"vm":"vm3","bundle_version":3,"bundle_refusal":"store: 3005 bad-signature","vms":3}`
)

func TestStatusAndSpread(t *testing.T) {
	is := is.New(t)
	c := network{"a:1": answer(vm1), "b:1": answer(vm2), "c:1": answer(vm3)}.client(t, "a:1", "b:1", "c:1", "d:1")
	answers := c.StatusAll(t.Context())
	groups := SummarizeGroups(answers)
	is.Equal(len(groups), 1)
	is.Equal(groups[0].Term, uint64(2)) // the newest term wins over a higher sequence
	is.Equal(groups[0].Behind, 2)       // vm2 in term 1, vm3 without the group
	is.True(!groups[0].AssignerSilent)
	is.True(SummarizeGroups(answers[1:2])[0].AssignerSilent) // its assigner vm3 gave no answer
	highest, err := c.HighestBundleVersion(t.Context())
	is.NoErr(err)
	is.Equal(highest, uint64(4))

	r := NewBundleReport(4, answers)
	is.Equal(r.InForce, 1)
	is.Equal(r.Processes, 4)
	var why []string
	for _, l := range r.Lagging {
		why = append(why, l.Reason)
	}
	text := strings.Join(why, "\n")
	for _, want := range []string{"has not reached", "refused: store: 3005", "does not answer"} {
		is.True(strings.Contains(text, want)) // each lag has its reason
	}
	is.True(strings.Contains(NewBundleReport(2, answers).Lagging[0].Reason, "restored to the past"))

	empty := []Answer{{Address: "a:1", Status: &Status{}}}
	is.Equal(NewBundleReport(0, empty).Lagging[0].Reason, "has no bundle yet")

	var out bytes.Buffer
	is.NoErr(WriteStatus(&out, answers))
	is.NoErr(r.Write(&out))
	is.True(strings.Contains(out.String(), "version 4: in force in 1 of 4 processes"))
}

func TestSpreadCountsEntries(t *testing.T) {
	is := is.New(t)
	n := network{
		"a:1": answer(vm1),
		"e:1": answer("# HELP x\nbasiltally_bundle_version 4\n"),
		"e:2": answer("basiltally_bundle_version 3\n"),
		"e:3": answer("basiltally_bundle_version_other 4\n"),
	}
	c := n.client(t, "a:1")
	c.opts.Entries = []string{"e:1", "e:2", "e:3", "e:4"}
	r := NewBundleReport(4, c.BundleVersions(t.Context()))
	is.Equal(r.InForce, 2)
	is.Equal(r.Processes, 5)
	is.Equal(r.Lagging[0].Version, uint64(3))
	is.True(strings.Contains(r.Lagging[1].Reason, "no metric"))
}

func TestDiff(t *testing.T) {
	is := is.New(t)
	const doc = "[bundle]\nversion = 1\n[pool \"p\"]\nkeyed = true\ngroups = g\ntarget_slots = 6\ntarget_connections = 10\n" +
		"[tenant \"t\"]\n[class \"t/c\"]\nkind = keyed-read\npath_prefix = /c/\npool = p\n"
	before, err := config.Parse("a", []byte(doc))
	is.NoErr(err)
	// A spelled-out default is no change; a class is added and a value changed.
	after, err := config.Parse("b", []byte(strings.Replace(doc, "target_slots = 6", "target_slots = 8\nprobe_interval = 1s", 1)+
		"[class \"t/d\"]\nkind = keyed-read\npath_prefix = /d/\npool = p\n"))
	is.NoErr(err)
	changes := Diff(before, after)
	is.Equal(changes[0], Change{`pool "p"`, "target_slots", "6", "8"})
	is.Equal(len(changes), 1+9) // the nine keys of the new class
	is.Equal(len(Diff(after, before)), 1+9)
	is.Equal(len(Diff(before, before)), 0)
}

func TestExitCodes(t *testing.T) {
	is := is.New(t)
	cases := map[int]error{
		ExitOK:          nil,
		ExitInternal:    context.Canceled,
		ExitInput:       settings.Errors{{Reason: "x"}},
		ExitRefused:     result.New(result.VersionConflict, ""),
		ExitUnknown:     result.New(result.OperationUnknown, ""),
		ExitUnavailable: result.New(result.StoreUnavailable, ""),
		ExitConfirm:     result.New(result.ConfirmationNeeded, ""),
	}
	for want, err := range cases {
		is.Equal(ExitCode(err), want)
	}
	is.Equal(ExitCode(result.New(result.InvalidBundle, "")), ExitInput)
}
