package objectapi

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/checked"
	"github.com/basiltally/basiltally/store/httpcall"
)

// Defaults of Options.
const (
	DefaultTimeout        = 2 * time.Second
	DefaultWatchPoll      = 10 * time.Second
	DefaultMaxConnections = 8
)

const (
	// watchGrace is how long the answer to a watch may take after the watch has timed out.
	watchGrace = time.Second
	// checkWait is the wait of a check of a poll, the shortest one.
	checkWait = time.Millisecond
	// watchRetryDelay is the pause between watch polls that return without events.
	watchRetryDelay = 10 * time.Millisecond
)

// Options configures a Client.
type Options struct {
	// Address is the host:port of the object API.
	Address string
	// Timeout bounds a call whose context has no earlier deadline. Default 2 s.
	Timeout time.Duration
	// WatchPoll bounds one poll of a watch, after which the client polls again. Default 10 s.
	WatchPoll time.Duration
	// MaxConnections bounds the open connections besides those of watches, of which each prefix has two at
	// most. Default 8.
	MaxConnections int
}

// Client calls the object API. It never repeats a write.
type Client struct {
	opts    Options
	http    *httpcall.Client
	pollers *httpcall.Pollers
}

var (
	_ store.Store    = (*Client)(nil)
	_ store.VMLister = (*Client)(nil)
)

// New returns a Client that has no connections yet.
func New(opts Options) *Client {
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.WatchPoll <= 0 {
		opts.WatchPoll = DefaultWatchPoll
	}
	if opts.MaxConnections <= 0 {
		opts.MaxConnections = DefaultMaxConnections
	}
	return &Client{
		opts: opts,
		http: httpcall.New(httpcall.Options{
			Address: opts.Address, Timeout: opts.Timeout, MaxConnections: opts.MaxConnections,
		}),
		pollers: httpcall.NewPollers(httpcall.Options{Address: opts.Address, Timeout: opts.WatchPoll + watchGrace}),
	}
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Object, error) {
	ans, err := c.read(ctx, httpcall.Call{Method: http.MethodGet, Path: ObjectPath, Args: [][2]string{{ArgKey, key}}})
	if err != nil {
		return store.Object{}, errors.WithMessage(err, key)
	}
	return store.Object{Key: key, Value: ans.body, Version: ans.version}, nil
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Object, store.Version, error) {
	var body ListBody
	list := httpcall.Call{Method: http.MethodGet, Path: ListPath, Args: [][2]string{{ArgPrefix, prefix}}}
	if err := readJSON(ctx, c.http, list, &body); err != nil {
		return nil, 0, errors.WithMessage(err, prefix)
	}
	objects := make([]store.Object, len(body.Objects))
	for i, obj := range body.Objects {
		objects[i] = store.Object{Key: obj.Key, Value: obj.Value, Version: obj.Version}
	}
	return objects, body.Revision, nil
}

// Put implements store.Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected store.Version) (store.Version, error) {
	if len(value) > store.MaxValueBytes {
		return 0, errors.Wrapf(store.ErrTooLarge, "%s: %d bytes", key, len(value))
	}
	put := httpcall.Call{Method: http.MethodPut, Path: ObjectPath, Args: writeArgs(key, expected), Body: value}
	ans, err := c.write(ctx, put)
	if err != nil {
		return 0, errors.WithMessage(err, key)
	}
	return ans.version, nil
}

// Delete implements store.Store.
func (c *Client) Delete(ctx context.Context, key string, expected store.Version) error {
	_, err := c.write(ctx, httpcall.Call{Method: http.MethodDelete, Path: ObjectPath, Args: writeArgs(key, expected)})
	return errors.WithMessage(err, key)
}

// Watch implements store.Store with long polls, which are checked while they wait.
func (c *Client) Watch(ctx context.Context, prefix string, after store.Version) ([]store.Event, error) {
	for {
		events, err := c.checkedWatch(ctx, prefix, after)
		if len(events) > 0 {
			return events, nil
		}
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return nil, nil
		}
		if err != nil {
			return nil, errors.WithMessage(err, prefix)
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetryDelay):
		}
	}
}

// checkedWatch makes one poll, and notices if the object API has lost it. It returns no events if the poll
// times out.
func (c *Client) checkedWatch(ctx context.Context, prefix string, after store.Version) ([]store.Event, error) {
	call := func(client *httpcall.Client, poll time.Duration) checked.Call {
		return func(ctx context.Context) ([]store.Event, store.Version, error) {
			events, err := pollWatch(ctx, client, prefix, after, poll)
			return events, after, err
		}
	}
	r := checked.Poll(ctx, call(c.pollers.For(prefix), c.opts.WatchPoll), call(c.http, checkWait), checked.Options{Prefix: prefix})
	return r.Events, r.Err
}

// pollWatch makes one poll, which returns no events if it times out.
func pollWatch(ctx context.Context, client *httpcall.Client, prefix string, after store.Version, poll time.Duration) ([]store.Event, error) {
	if deadline, ok := ctx.Deadline(); ok {
		poll = min(poll, time.Until(deadline))
	}
	watch := httpcall.Call{
		Method: http.MethodGet,
		Path:   WatchPath,
		Args: [][2]string{
			{ArgPrefix, prefix},
			{ArgAfter, formatVersion(after)},
			{ArgTimeout, strconv.FormatInt(max(poll.Milliseconds(), 1), 10)},
		},
		Timeout: poll + watchGrace,
	}
	var body WatchBody
	if err := readJSON(ctx, client, watch, &body); err != nil {
		return nil, err
	}
	events := make([]store.Event, len(body.Events))
	for i, e := range body.Events {
		events[i] = store.Event{
			Object:  store.Object{Key: e.Key, Value: e.Value, Version: e.Version},
			Deleted: e.Deleted,
		}
	}
	return events, nil
}

// ListVMs implements store.VMLister.
func (c *Client) ListVMs(ctx context.Context) ([]store.VM, error) {
	var body VMsBody
	err := readJSON(ctx, c.http, httpcall.Call{Method: http.MethodGet, Path: VMsPath}, &body)
	return body.VMs, errors.WithMessage(err, "VM list")
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdle() }

func readJSON(ctx context.Context, client *httpcall.Client, cl httpcall.Call, into any) error {
	ans, err := client.Read(ctx, cl)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(ans.Body, into); err != nil {
		return httpcall.WithCause(store.ErrUnavailable, errors.Wrap(err, "decode answer"))
	}
	return nil
}

func (c *Client) read(ctx context.Context, cl httpcall.Call) (answer, error) {
	ans, err := c.http.Read(ctx, cl)
	return newAnswer(ans), err
}

func (c *Client) write(ctx context.Context, cl httpcall.Call) (answer, error) {
	ans, err := c.http.Write(ctx, cl)
	return newAnswer(ans), err
}

// answer is the part of an HTTP answer that the client uses.
type answer struct {
	version store.Version
	body    []byte
}

// newAnswer decodes an answer, which is nil after a failed call.
func newAnswer(ans *httpcall.Answer) answer {
	if ans == nil {
		return answer{}
	}
	// Lists and watches have no version of their own.
	version, _ := strconv.ParseUint(string(ans.Header.Peek(HeaderVersion)), 10, 64)
	return answer{version: store.Version(version), body: ans.Body}
}

func writeArgs(key string, expected store.Version) [][2]string {
	return [][2]string{{ArgKey, key}, {ArgExpected, formatVersion(expected)}}
}

func formatVersion(v store.Version) string { return strconv.FormatUint(uint64(v), 10) }
