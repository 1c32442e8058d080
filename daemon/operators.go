package daemon

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/assigner"
	"github.com/basiltally/basiltally/quarantine"
	"github.com/basiltally/basiltally/result"
)

// StatusReply is the answer to GET /v1/status.
type StatusReply struct {
	VM            string `json:"vm"`
	BundleVersion uint64 `json:"bundle_version"`
	// BundleRefusal names the last bundle that was refused, with the reason.
	BundleRefusal string            `json:"bundle_refusal,omitempty"`
	VMs           int               `json:"vms"`
	Groups        []assigner.Status `json:"groups"`
}

func (p *assignProcess) operatorHandlers() map[string]fasthttp.RequestHandler {
	return map[string]fasthttp.RequestHandler{
		"/v1/status":  p.handleStatus,
		"/v1/command": p.handleCommand,
	}
}

func (p *assignProcess) handleStatus(ctx *fasthttp.RequestCtx) {
	writeJSON(ctx, StatusReply{
		VM: p.settings.Process.VM, BundleVersion: p.bundles.Version(), BundleRefusal: p.bundles.LastRefusal(),
		VMs: len(p.members.Snapshot().VMs), Groups: p.assigner.Status(),
	})
}

// CommandRequest is the body of POST /v1/command.
type CommandRequest struct {
	Name string   `json:"name"`
	Args []string `json:"args"`
}

func (p *assignProcess) handleCommand(ctx *fasthttp.RequestCtx) {
	var req CommandRequest
	if !ctx.IsPost() || json.Unmarshal(ctx.PostBody(), &req) != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		writeJSON(ctx, assigner.Reply{Code: result.BadRequest, Detail: `POST {"name": "...", "args": ["..."]}`})
		return
	}
	reply := p.execute(ctx, req.Name, req.Args)
	if reply.Code != result.OK {
		ctx.SetStatusCode(result.Describe(reply.Code).HTTPStatus)
	}
	writeJSON(ctx, reply)
}

// Names of the quarantine commands.
const (
	// CommandQuarantineList lists the quarantined requests. It takes no arguments.
	CommandQuarantineList = "quarantine-list"
	// CommandQuarantineRelease releases a request. Its argument is the FINGERPRINT.
	CommandQuarantineRelease = "quarantine-release"
)

// QuarantinedRequest is one element of the reply to CommandQuarantineList.
type QuarantinedRequest struct {
	Fingerprint string    `json:"fingerprint"`
	Crashes     int       `json:"crashes"`
	Ambiguous   bool      `json:"ambiguous"`
	Until       time.Time `json:"until"`
}

func (p *assignProcess) execute(ctx context.Context, name string, args []string) assigner.Reply {
	switch name {
	case CommandQuarantineList:
		return assigner.Reply{Code: result.OK, Data: quarantined(p.quarantine.List())}
	case CommandQuarantineRelease:
		return p.releaseQuarantined(args)
	default:
		return p.assigner.Execute(ctx, name, args)
	}
}

func quarantined(list []quarantine.ListedRequest) []QuarantinedRequest {
	out := make([]QuarantinedRequest, len(list))
	for i, e := range list {
		out[i] = QuarantinedRequest{hex.EncodeToString(e.Fingerprint[:]), e.Crashes, e.Ambiguous, e.Until}
	}
	return out
}

func (p *assignProcess) releaseQuarantined(args []string) assigner.Reply {
	var fp quarantine.Fingerprint
	if len(args) != 1 || hex.DecodedLen(len(args[0])) != len(fp) {
		return assigner.Reply{Code: result.BadRequest, Detail: "usage: quarantine-release FINGERPRINT"}
	}
	if _, err := hex.Decode(fp[:], []byte(args[0])); err != nil {
		return assigner.Reply{Code: result.BadRequest, Detail: "the fingerprint is not a hexadecimal number"}
	}
	listed := slices.ContainsFunc(p.quarantine.List(), func(e quarantine.ListedRequest) bool { return e.Fingerprint == fp })
	if !listed {
		return assigner.Reply{Code: result.UnknownObject, Detail: "no request with this fingerprint is quarantined"}
	}
	p.quarantine.Release(fp)
	return assigner.Reply{Code: result.OK, Detail: "released on this VM; the other VMs release it when they receive the shared record"}
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		ctx.Error(result.Internal.String(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(b, '\n'))
}
