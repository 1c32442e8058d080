// Package respond provides the filter that writes the outcome of a request into the
// caller's answer: the result headers, and a small JSON body if there was an error.
package respond

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/pipeline"
	"github.com/basiltally/basiltally/result"
)

// ErrorBody is the JSON body of an answer that does not come from a target.
type ErrorBody struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Outcome string      `json:"outcome"`
	Detail  string      `json:"detail,omitempty"`
	// RequestID lets operators find the request.
	RequestID string `json:"request_id,omitempty"`
}

type filter struct{ next pipeline.Handler }

// New returns the filter.
func New() pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler { return &filter{next} }
}

// Serve implements pipeline.Handler. It answers every request and returns nil.
func (f *filter) Serve(req *pipeline.Request) error {
	err := f.next.Serve(req)
	if err != nil {
		e := pipeline.AsError(req, err)
		req.SetError(e)
		WriteError(req.Answer, e, req.ID)
		return nil
	}
	setHeaders(req.Answer, result.OK, req.ID)
	return nil
}

// WriteError replaces the answer by one that describes the error.
func WriteError(answer *fasthttp.Response, e *result.Error, id string) {
	info := result.Describe(e.Code)
	answer.Reset()
	answer.SetStatusCode(info.HTTPStatus)
	answer.Header.SetContentType("application/json")
	setHeaders(answer, e.Code, id)
	setRetryAfter(answer, e.RetryAfter)
	body, _ := json.Marshal(ErrorBody{
		Code:      e.Code,
		Name:      info.Name,
		Outcome:   info.Outcome.String(),
		Detail:    e.Detail,
		RequestID: id,
	})
	answer.SetBody(append(body, '\n'))
}

func setHeaders(answer *fasthttp.Response, code result.Code, id string) {
	answer.Header.Set(pipeline.HeaderCode, strconv.Itoa(int(code)))
	answer.Header.Set(pipeline.HeaderOutcome, result.Describe(code).Outcome.String())
	answer.Header.Set(pipeline.HeaderRequestID, id)
}

// setRetryAfter sets the Retry-After header in whole seconds, as HTTP requires,
// rounded up.
func setRetryAfter(answer *fasthttp.Response, after time.Duration) {
	if after <= 0 {
		return
	}
	seconds := int(math.Ceil(after.Seconds()))
	answer.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
}
