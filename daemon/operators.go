package daemon

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/assigner"
	"github.com/basiltally/basiltally/result"
)

// StatusReply is the answer to GET /v1/status.
type StatusReply struct {
	VM            string            `json:"vm"`
	BundleVersion uint64            `json:"bundle_version"`
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
		VM: p.settings.Process.VM, BundleVersion: p.bundles.Version(),
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
	reply := p.assigner.Execute(ctx, req.Name, req.Args)
	if reply.Code != result.OK {
		ctx.SetStatusCode(result.Describe(reply.Code).HTTPStatus)
	}
	writeJSON(ctx, reply)
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
