// Package operator implements basiltallyctl's access to the system: a client for the
// operators' endpoints of the assign processes, and the tables, summaries and exit codes
// that the command line client derives from their answers.
package operator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/bundle"
	"github.com/basiltally/basiltally/httphead"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/result"
)

// Paths of the operators' endpoints.
const (
	statusPath  = "/v1/status"
	commandPath = "/v1/command"
	metricsPath = "/metrics"
)

// DefaultTimeout is the longest wait for the reply to one command.
const DefaultTimeout = 10 * time.Second

// statusTimeout is the longest wait for the status of one process, so that a process that does
// not answer does not delay the result for the others.
const statusTimeout = 2 * time.Second

// maxAnswerBytes is the largest body of an answer.
const maxAnswerBytes = 64 << 20

// Options configures a Client.
type Options struct {
	// Addresses are the operators' addresses of the assign processes, host:port.
	Addresses []string
	// Entries are the operators' addresses of the entry processes, host:port; only their
	// bundle version is requested.
	Entries []string
	// Timeout is the longest wait for the reply to one command; zero means DefaultTimeout.
	Timeout time.Duration
	// Dial opens connections; nil means TCP.
	Dial func(address string) (net.Conn, error)
}

// Client calls the assign processes, and requests the bundle version of entry processes.
type Client struct {
	opts Options
	http *fasthttp.Client
}

// dialError marks an error that occurred before any byte was sent.
type dialError struct{ error }

// NewClient returns a Client.
func NewClient(o Options) *Client {
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Dial == nil {
		o.Dial = func(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, o.Timeout) }
	}
	dial := func(address string) (net.Conn, error) {
		conn, err := o.Dial(address)
		if err != nil {
			return nil, dialError{err}
		}
		return httphead.NewConn(conn), nil
	}
	return &Client{opts: o, http: &fasthttp.Client{
		Dial:                      dial,
		MaxResponseBodySize:       maxAnswerBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// Group is the state of a group as reported by one VM.
type Group struct {
	ID        ownership.GroupID `json:"group"`
	Assigning bool              `json:"assigning"`
	Assigner  ownership.VMID    `json:"assigner"`
	Term      uint64            `json:"term"`
	Seq       uint64            `json:"seq"`
	Slots     int               `json:"slots"`
	Unowned   int               `json:"unowned"`
	Targets   int               `json:"targets"`
	Lost      int               `json:"lost"`
}

// Status is the status that one assign process reports.
type Status struct {
	VM            ownership.VMID `json:"vm"`
	BundleVersion uint64         `json:"bundle_version"`
	// BundleRefusal names the last bundle that the process refused, with the reason.
	BundleRefusal string  `json:"bundle_refusal,omitempty"`
	VMs           int     `json:"vms"`
	Groups        []Group `json:"groups"`
}

// Answer is the status of the process at an address, or the reason why there is none.
type Answer struct {
	Address string  `json:"address"`
	Status  *Status `json:"status,omitempty"`
	Error   string  `json:"error,omitempty"`
}

// Reply is the answer to a command.
type Reply struct {
	Code    result.Code     `json:"code"`
	Detail  string          `json:"detail,omitempty"`
	Version uint64          `json:"version,omitempty"`
	Data    json.RawMessage `json:"data,omitempty"`
}

// Err returns the refusal or failure that the reply reports, or nil.
func (r Reply) Err() error {
	if r.Code == result.OK {
		return nil
	}
	return result.New(r.Code, "%s", r.Detail)
}

// StatusAll requests the status of all assign processes concurrently. It returns the answers
// in the order of the addresses.
func (c *Client) StatusAll(ctx context.Context) []Answer {
	answers := make([]Answer, len(c.opts.Addresses))
	var wg sync.WaitGroup
	for i, address := range c.opts.Addresses {
		wg.Go(func() {
			answers[i] = c.status(ctx, address)
		})
	}
	wg.Wait()
	return answers
}

func (c *Client) status(ctx context.Context, address string) Answer {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	code, body, err := c.do(ctx, http.MethodGet, address, statusPath, nil)
	if err != nil {
		return Answer{Address: address, Error: err.Error()}
	}
	if code != http.StatusOK {
		return Answer{Address: address, Error: http.StatusText(code)}
	}
	var s Status
	if err := json.Unmarshal(body, &s); err != nil {
		return Answer{Address: address, Error: "malformed answer: " + err.Error()}
	}
	return Answer{Address: address, Status: &s}
}

// BundleVersions requests the bundle version of every assign and entry process. In the
// status of an entry process only the bundle version is set.
func (c *Client) BundleVersions(ctx context.Context) []Answer {
	entries := make([]Answer, len(c.opts.Entries))
	var wg sync.WaitGroup
	for i, address := range c.opts.Entries {
		wg.Go(func() {
			entries[i] = c.entryBundleVersion(ctx, address)
		})
	}
	answers := c.StatusAll(ctx)
	wg.Wait()
	return append(answers, entries...)
}

func (c *Client) entryBundleVersion(ctx context.Context, address string) Answer {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	_, body, err := c.do(ctx, http.MethodGet, address, metricsPath, nil)
	if err != nil {
		return Answer{Address: address, Error: err.Error()}
	}
	for line := range strings.Lines(string(body)) {
		value, ok := strings.CutPrefix(strings.TrimSpace(line), bundle.VersionMetric+" ")
		if !ok {
			continue
		}
		version, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return Answer{Address: address, Error: "malformed metric: " + err.Error()}
		}
		return Answer{Address: address, Status: &Status{BundleVersion: uint64(version)}}
	}
	return Answer{Address: address, Error: "no metric " + bundle.VersionMetric}
}

// HighestBundleVersion returns the highest bundle version in force in any process. It returns
// an error if no process answered.
func (c *Client) HighestBundleVersion(ctx context.Context) (uint64, error) {
	highest, anyAnswered := uint64(0), false
	for _, a := range c.BundleVersions(ctx) {
		if a.Status != nil {
			anyAnswered = true
			highest = max(highest, a.Status.BundleVersion)
		}
	}
	if !anyAnswered {
		return 0, errors.Errorf("none of %d processes answered", len(c.opts.Addresses)+len(c.opts.Entries))
	}
	return highest, nil
}

// Command sends a command to the first assign process that can be reached. That process
// forwards the command to the process that is to execute it. A command that may have been
// received is not sent again; its outcome is then result.OperationUnknown.
func (c *Client) Command(ctx context.Context, name string, args ...string) (Reply, error) {
	for _, address := range c.opts.Addresses {
		reply, err := c.command(ctx, address, name, args)
		if errors.As(err, &dialError{}) {
			continue
		}
		return reply, err
	}
	return Reply{}, result.New(result.StoreUnavailable, "%s was not run: none of %d assign processes could be reached", name, len(c.opts.Addresses))
}

func (c *Client) command(ctx context.Context, address, name string, args []string) (Reply, error) {
	request := struct {
		Name string   `json:"name"`
		Args []string `json:"args"`
	}{name, args}
	body, err := json.Marshal(request)
	if err != nil {
		return Reply{}, result.Wrap(result.BadRequest, err, "%s", name)
	}
	_, answer, err := c.do(ctx, http.MethodPost, address, commandPath, body)
	if errors.As(err, &dialError{}) {
		return Reply{}, err
	}
	if err != nil {
		return Reply{}, result.Wrap(result.OperationUnknown, err, "%s at %s: no answer", name, address)
	}
	var reply Reply
	if err := json.Unmarshal(answer, &reply); err != nil {
		return Reply{}, result.Wrap(result.OperationUnknown, err, "%s at %s: malformed answer", name, address)
	}
	return reply, reply.Err()
}

func (c *Client) do(ctx context.Context, method, address, path string, body []byte) (int, []byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.SetBody(body)
	deadline := time.Now().Add(c.opts.Timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return 0, nil, err
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}
