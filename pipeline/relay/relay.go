// Package relay forwards to package respond, for importers that still use the old path.
package relay

import (
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/pipeline/respond"
	"github.com/basiltally/basiltally/result"
)

// WriteError calls respond.WriteError.
func WriteError(answer *fasthttp.Response, e *result.Error, id string) {
	respond.WriteError(answer, e, id)
}
