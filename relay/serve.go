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
	// idleInterval is the interval of empty messages on a quiet subscription.
	idleInterval = time.Second
	// silenceLimit is the time without any message after which a parent is given up.
	silenceLimit = 3 * time.Second
	// retryFirst and retryMost bound the pause between attempts to subscribe.
	retryFirst = 100 * time.Millisecond
	retryMost  = 2 * time.Second
)

// Serve sends a subscriber all changes until its stream or the context ends.
func (h *Hub) Serve(ctx context.Context, s *peer.Stream, known *pb.Subscribe) error {
	sub := h.Subscribe(known)
	defer sub.Close()
	idle := time.NewTicker(idleInterval)
	defer idle.Stop()
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
		case <-idle.C:
			if err := s.Send(&pb.Envelope{}); err != nil {
				return err
			}
		}
	}
}

// Upstream returns the addresses to subscribe to, most preferred first, or
// nothing when this process needs no parent. It is asked before each attempt.
type ParentAddresses func() []string

// Follower keeps a hub up to date from a parent.
type Follower struct {
	// Hub receives views and bundles.
	Hub *Hub
	// Client opens streams.
	Client *peer.Client
	// Upstream chooses the parents; a silent one is passed over for the next.
	ParentAddresses ParentAddresses
	// OnBundle, if set, decides whether a received bundle may enter the hub.
	AcceptBundle func(*pb.Bundle) error
}

// Run follows one parent at a time until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = retryFirst, retryMost
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

// follow reports whether the parent sent anything.
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
		if err := s.SetReadDeadline(time.Now().Add(silenceLimit)); err != nil {
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

// known lists the versions held, so that a parent leaves them out. A delta needs
// its base, which the parent has not sent on this stream, so it sends newer views whole.
func (f *Follower) known() *pb.Subscribe {
	sub := &pb.Subscribe{BundleVersion: f.Hub.Bundle().GetVersion()}
	for _, v := range f.Hub.Views() {
		sub.Known = append(sub.Known, &pb.KnownView{Group: string(v.Group), Version: &pb.Token{Term: v.Term, Seq: v.Seq}})
	}
	return sub
}

// Receive applies one message from a parent. An error means that the stream
// must be opened anew to get back in step.
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
