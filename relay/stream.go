package relay

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/peer"
)

const (
	// keepAliveInterval is the interval of the empty messages that a parent sends on
	// each subscription.
	keepAliveInterval = time.Second
	// parentTimeout is the time without any message after which a Follower closes
	// the session to its parent.
	parentTimeout = 3 * time.Second
	// retryPauseMin and retryPauseMax bound the pause between attempts to subscribe.
	retryPauseMin = 100 * time.Millisecond
	retryPauseMax = 2 * time.Second
)

// Serve sends a subscriber all changes until its stream fails, which it returns as
// an error, or the context ends. It leaves out the versions in known.
func (h *Hub) Serve(ctx context.Context, s *peer.Stream, known *pb.Subscribe) error {
	sub := h.Subscribe(known)
	defer sub.Close()
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-sub.Ready():
			for _, m := range sub.Take() {
				if err := s.Send(m); err != nil {
					return err
				}
			}
		case <-keepAlive.C:
			if err := s.Send(&pb.Envelope{}); err != nil {
				return err
			}
		}
	}
}

// ParentAddresses returns the addresses to subscribe to, most preferred first, or
// none if this process needs no parent. It is called before each attempt.
type ParentAddresses func() []string

// Follower keeps a hub up to date by a subscription to the hub of a parent.
type Follower struct {
	// Hub is the hub to which received views and bundles are published.
	Hub *Hub
	// Client opens the streams to the parents.
	Client *peer.Client
	// ParentAddresses returns the parents. If one sends nothing, the next is tried.
	ParentAddresses ParentAddresses
	// AcceptBundle, if set, returns an error for a received bundle that must not
	// be published in the hub.
	AcceptBundle func(*pb.Bundle) error
}

// Run subscribes to one parent at a time until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = retryPauseMin, retryPauseMax
	for attempt := 0; ctx.Err() == nil; attempt++ {
		parents := f.ParentAddresses()
		if len(parents) > 0 {
			received := f.follow(ctx, parents[attempt%len(parents)])
			if received {
				attempt = -1
				pause.Reset()
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause.NextBackOff()):
		}
	}
	return nil
}

// follow applies the messages of one parent until the stream fails, and reports
// whether the parent sent any.
func (f *Follower) follow(ctx context.Context, address string) (received bool) {
	s, err := f.Client.Open(ctx, address)
	if err != nil {
		return false
	}
	defer s.Close()
	defer context.AfterFunc(ctx, func() { s.Close() })()
	if err := s.Send(&pb.Envelope{Body: &pb.Envelope_Subscribe{Subscribe: f.known()}}); err != nil {
		return false
	}
	for {
		if err := s.SetReadDeadline(time.Now().Add(parentTimeout)); err != nil {
			return received
		}
		m, err := s.Recv()
		if err != nil {
			f.Client.CloseSession(address)
			return received
		}
		received = true
		if err := f.Receive(m); err != nil {
			return received
		}
	}
}

// known returns the versions held, which the parent need not send again. A delta
// can only follow a view sent on the same stream, so the parent sends the first
// newer view of each group in full.
func (f *Follower) known() *pb.Subscribe {
	sub := &pb.Subscribe{BundleVersion: f.Hub.Bundle().GetVersion()}
	for _, v := range f.Hub.Views() {
		sub.Known = append(sub.Known, &pb.KnownView{Group: string(v.Group), Version: &pb.Token{Term: v.Term, Seq: v.Seq}})
	}
	return sub
}

// Receive applies one message from a parent. After an error the caller must open a
// new stream, on which the parent sends complete views.
func (f *Follower) Receive(m *pb.Envelope) error {
	switch {
	case m.GetView() != nil:
		return f.receiveView(m.GetView())
	case m.GetBundle() != nil:
		return f.receiveBundle(m.GetBundle())
	default:
		return nil
	}
}

func (f *Follower) receiveView(m *pb.GroupView) error {
	held := f.Hub.View(ownership.GroupID(m.Group))
	v, err := ownership.ViewFromProto(held, m)
	if errors.Is(err, ownership.ErrBaseMismatch) && held != nil && !held.Version().Less(ownership.Token{Term: m.Term, Seq: m.Seq}) {
		return nil
	}
	if err != nil {
		return err
	}
	f.Hub.PublishView(v)
	return nil
}

func (f *Follower) receiveBundle(b *pb.Bundle) error {
	if f.AcceptBundle != nil {
		if err := f.AcceptBundle(b); err != nil {
			return err
		}
	}
	f.Hub.PublishBundle(b)
	return nil
}
