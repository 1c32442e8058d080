package assigner

import (
	"context"
	"sync"
	"time"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/peer"
)

const (
	// coalesceInterval is the time for which support requests of several groups
	// to the same VM are gathered into one message.
	coalesceInterval = 5 * time.Millisecond
	// silentLinkLimit is the time without an answer after which a link's
	// connection is replaced.
	silentLinkLimit = time.Second
)

// supportLink exchanges support requests and replies with one peer VM on one
// long-lived stream.
type supportLink struct {
	to      ownership.VMID
	address string
	self    ownership.VMID
	inc     uint64
	client  *peer.Client
	now     func() time.Duration
	deliver func(from ownership.VMID, reply *pb.SupportReply)

	mu      sync.Mutex
	pending map[string]*pb.GroupSupportRequest
	wake    chan struct{}
}

func (l *supportLink) ask(r *pb.GroupSupportRequest) {
	l.mu.Lock()
	l.pending[r.Group] = r
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *supportLink) take() []*pb.GroupSupportRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*pb.GroupSupportRequest, 0, len(l.pending))
	for _, r := range l.pending {
		out = append(out, r)
	}
	clear(l.pending)
	return out
}

func (l *supportLink) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		l.exchange(ctx)
	}
}

// exchange opens a stream and uses it until it fails or falls silent.
func (l *supportLink) exchange(ctx context.Context) {
	dialContext, cancel := context.WithTimeout(ctx, silentLinkLimit)
	s, err := l.client.Open(dialContext, l.address)
	cancel()
	if err != nil {
		l.take()
		return
	}
	defer s.Close()
	defer context.AfterFunc(ctx, func() { s.Close() })()
	failed := make(chan struct{})
	go l.receive(s, failed)
	for {
		time.Sleep(coalesceInterval)
		if err := l.send(s); err != nil {
			l.client.Forget(l.address)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-failed:
			l.client.Forget(l.address)
			return
		case <-l.wake:
		}
	}
}

func (l *supportLink) send(s *peer.Stream) error {
	groups := l.take()
	if len(groups) == 0 {
		return nil
	}
	m := &pb.SupportRequest{Vm: string(l.self), Incarnation: l.inc, SentNanos: int64(l.now()), Groups: groups}
	return s.Send(&pb.Envelope{Body: &pb.Envelope_SupportRequest{SupportRequest: m}})
}

func (l *supportLink) receive(s *peer.Stream, failed chan<- struct{}) {
	defer close(failed)
	for {
		if err := s.SetReadDeadline(time.Now().Add(silentLinkLimit)); err != nil {
			return
		}
		m, err := s.Recv()
		if err != nil {
			return
		}
		if r := m.GetSupportReply(); r != nil {
			l.deliver(l.to, r)
		}
	}
}
