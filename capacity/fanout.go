package capacity

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/peer"
	"github.com/basiltally/basiltally/relay"
)

// SweepSubscribers names the sweep over the subscribers of a relay on loopback.
const SweepSubscribers = "subscribers"

// dialTimeout bounds the opening of one subscriber's connection.
const dialTimeout = time.Second

// Series of SweepSubscribers, and the parameters of its measurement.
const (
	UpdateCPU      = "CPU per update, all ends"
	UpdateBytes    = "bytes per update"
	IdleBytes      = "bytes per second without updates"
	SubscriberHeap = "memory of both ends"
	// fanOutUpdates is the number of updates over which costs are averaged.
	fanOutUpdates   = 200
	updateTimeout   = 30 * time.Second
	idleMeasureTime = 3 * time.Second
)

// fanOut is one relay with its subscribers, each on a connection of its own.
type fanOut struct {
	source         *relay.Hub
	subscriberHubs []*relay.Hub
	clients        []*peer.Client
	bytes          atomic.Int64
	cancel         context.CancelFunc
	finished       sync.WaitGroup
}

func newFanOut(subscribers int) (*fanOut, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fanOut{source: relay.NewHub(), cancel: cancel}
	server, err := peer.Listen(peer.ServerOptions{Address: "127.0.0.1:0", Handler: f.serve})
	if err != nil {
		cancel()
		return nil, err
	}
	f.finished.Go(func() { _ = server.Run(ctx) })
	parentAddresses := func() []string { return []string{server.Addr()} }
	for i := range subscribers {
		client := peer.NewClient(peer.ClientOptions{VM: fmt.Sprintf("vm-%05d", i), Role: "assign", Dial: f.dial})
		follower := &relay.Follower{Hub: relay.NewHub(), Client: client, ParentAddresses: parentAddresses}
		f.subscriberHubs = append(f.subscriberHubs, follower.Hub)
		f.clients = append(f.clients, client)
		f.finished.Go(func() { _ = follower.Run(ctx) })
	}
	return f, nil
}

func (f *fanOut) serve(ctx context.Context, s *peer.Stream) {
	first, err := s.Recv()
	if err != nil || first.GetSubscribe() == nil {
		return
	}
	_ = f.source.Serve(ctx, s, first.GetSubscribe())
}

func (f *fanOut) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: &f.bytes}, nil
}

func (f *fanOut) close() {
	f.cancel()
	for _, c := range f.clients {
		c.Close()
	}
	f.finished.Wait()
}

// publish publishes a view and waits until each subscriber has received it. It
// fails if that takes longer than updateTimeout.
func (f *fanOut) publish(v *ownership.View) error {
	f.source.PublishView(v)
	end := time.Now().Add(updateTimeout)
	for !f.receivedByAll(v) {
		if time.Now().After(end) {
			return errors.New("timed out before all subscribers received a view")
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

func (f *fanOut) receivedByAll(v *ownership.View) bool {
	return !slices.ContainsFunc(f.subscriberHubs, func(h *relay.Hub) bool {
		held := h.View(v.Group)
		return held == nil || held.Version() != v.Version()
	})
}

func measureSubscribers(s *Sweep, subscribers int, _ time.Duration) error {
	before := liveMemory()
	f, err := newFanOut(subscribers)
	if err != nil {
		return err
	}
	defer f.close()
	v := makeView("group-0001", viewTargets, viewSlots)
	if err := f.publish(v); err != nil {
		return err
	}
	x := float64(subscribers)
	s.addSample(SubscriberHeap, "B", x, float64(liveMemory())-float64(before))
	startCPU, startBytes := cpuTime(), f.bytes.Load()
	for range fanOutUpdates {
		v = changedView(v, deltaChanges)
		if err := f.publish(v); err != nil {
			return err
		}
	}
	s.addSample(UpdateCPU, "ns", x, float64(cpuTime()-startCPU)/fanOutUpdates)
	s.addSample(UpdateBytes, "B", x, float64(f.bytes.Load()-startBytes)/fanOutUpdates)
	startBytes = f.bytes.Load()
	time.Sleep(idleMeasureTime)
	s.addSample(IdleBytes, "B/s", x, float64(f.bytes.Load()-startBytes)/idleMeasureTime.Seconds())
	return nil
}
