package assigner

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/basiltally/basiltally/assign"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/peer"
)

const (
	// coalesceInterval is the time for which support requests of several groups
	// to the same VM are collected into one message.
	coalesceInterval = 5 * time.Millisecond
	// flushInterval is the interval at which a planned stop checks whether the
	// links are idle.
	flushInterval = 2 * time.Millisecond
	// linkReplyTimeout is the time without an answer after which a link's
	// connection is replaced. It also limits the opening of a stream and the wait
	// for answers at a planned stop.
	linkReplyTimeout = time.Second
)

// supportLink exchanges support requests and replies with one peer VM on one
// long-lived stream.
type supportLink struct {
	to      ownership.VMID
	address string
	a       *Assigner

	mu      sync.Mutex
	pending map[ownership.GroupID]assign.SendSupportRequest
	// unanswered holds the requests that were sent and not yet answered, by the
	// clock reading at sending in nanoseconds.
	unanswered map[int64][]assign.SendSupportRequest
	wake       chan struct{}
}

// link returns the link to a VM and opens a new one if there is none or if the
// VM's address changed. It returns nil if the VM list does not name the VM and
// there is no link.
func (a *Assigner) link(to ownership.VMID) *supportLink {
	vm, ok := a.opts.Members.Snapshot().VM(to)
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.links[to]
	if l != nil && (!ok || l.address == vm.Address) {
		return l
	}
	if !ok {
		return nil
	}
	l = &supportLink{
		to: to, address: vm.Address, a: a, wake: make(chan struct{}, 1),
		pending: make(map[ownership.GroupID]assign.SendSupportRequest), unanswered: make(map[int64][]assign.SendSupportRequest),
	}
	a.links[to] = l
	ctx := a.ctx
	a.wg.Go(func() { l.run(ctx) })
	return l
}

// flushLinks waits until the peers have answered all support requests, or until
// the context ends. If a release is lost, the successor has to wait for one
// support time.
func (a *Assigner) flushLinks(ctx context.Context) {
	a.mu.Lock()
	links := slices.Collect(maps.Values(a.links))
	a.mu.Unlock()
	for _, l := range links {
		for !l.idle() && ctx.Err() == nil {
			time.Sleep(flushInterval)
		}
	}
}

// enqueue queues a request; it replaces a queued request of the same group.
func (l *supportLink) enqueue(r assign.SendSupportRequest) {
	l.mu.Lock()
	l.pending[r.Request.Group] = r
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// takePending moves the queued requests to unanswered and returns their messages.
func (l *supportLink) takePending(sentAt int64) []*pb.GroupSupportRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*pb.GroupSupportRequest, 0, len(l.pending))
	for _, r := range l.pending {
		out = append(out, supportRequestToProto(r.Request))
		l.unanswered[sentAt] = append(l.unanswered[sentAt], r)
	}
	clear(l.pending)
	return out
}

// idle reports whether every request has been answered or dropped.
func (l *supportLink) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) == 0 && len(l.unanswered) == 0
}

// dropRequests removes all requests after the stream has failed.
func (l *supportLink) dropRequests() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.pending)
	clear(l.unanswered)
}

// takeAnswered removes and returns the requests that were sent at the instant
// which the reply echoes.
func (l *supportLink) takeAnswered(echo int64) []assign.SendSupportRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	asked := l.unanswered[echo]
	delete(l.unanswered, echo)
	return asked
}

// run exchanges messages whenever requests are queued, until the context ends.
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

// exchange opens a stream and uses it until it fails or no reply comes within
// linkReplyTimeout.
func (l *supportLink) exchange(ctx context.Context) {
	dialContext, cancel := context.WithTimeout(ctx, linkReplyTimeout)
	s, err := l.a.opts.Peers.Open(dialContext, l.address)
	cancel()
	if err != nil {
		l.dropRequests()
		return
	}
	defer l.dropRequests()
	defer s.Close()
	defer context.AfterFunc(ctx, func() { s.Close() })()
	failed := make(chan struct{})
	go l.receive(s, failed)
	for {
		time.Sleep(coalesceInterval)
		if err := l.send(s); err != nil {
			l.a.opts.Peers.CloseSession(l.address)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-failed:
			l.a.opts.Peers.CloseSession(l.address)
			return
		case <-l.wake:
		}
	}
}

// send sends the queued requests, if any, in one message.
func (l *supportLink) send(s *peer.Stream) error {
	sentAt := int64(l.a.now())
	groups := l.takePending(sentAt)
	if len(groups) == 0 {
		return nil
	}
	m := &pb.SupportRequest{Vm: string(l.a.opts.Self), Incarnation: l.a.opts.Incarnation, SentNanos: sentAt, Groups: groups}
	return s.Send(&pb.Envelope{Body: &pb.Envelope_SupportRequest{SupportRequest: m}})
}

// receive delivers replies until the stream fails or no message comes within
// linkReplyTimeout. It closes failed on return.
func (l *supportLink) receive(s *peer.Stream, failed chan<- struct{}) {
	defer close(failed)
	for {
		if err := s.SetReadDeadline(time.Now().Add(linkReplyTimeout)); err != nil {
			return
		}
		m, err := s.Recv()
		if err != nil {
			return
		}
		if r := m.GetSupportReply(); r != nil {
			l.deliverReplies(r)
		}
	}
}

// deliverReplies passes the replies in a message to the cores of their groups. A
// core counts support from the instant of its own request, which is earlier than
// the sending of the message.
func (l *supportLink) deliverReplies(m *pb.SupportReply) {
	replies := make(map[string]*pb.GroupSupportReply, len(m.Groups))
	for _, r := range m.Groups {
		replies[r.Group] = r
	}
	for _, asked := range l.takeAnswered(m.EchoSentNanos) {
		r := replies[string(asked.Request.Group)]
		l.a.mu.Lock()
		g := l.a.groups[asked.Request.Group]
		l.a.mu.Unlock()
		if r != nil && g != nil {
			g.deliverSupportReply(l.to, m.Incarnation, asked, supportReplyFromProto(r))
		}
	}
}
