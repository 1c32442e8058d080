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
	// to the same VM are gathered into one message.
	coalesceInterval = 5 * time.Millisecond
	// flushInterval is the pause between looks at the links at a planned stop.
	flushInterval = 2 * time.Millisecond
	// silentLinkLimit is the time without an answer after which a link's
	// connection is replaced.
	silentLinkLimit = time.Second
)

// supportLink exchanges support requests and replies with one peer VM on one
// long-lived stream.
type supportLink struct {
	to      ownership.VMID
	address string
	a       *Assigner

	mu      sync.Mutex
	pending map[ownership.GroupID]assign.SendSupportRequest
	// asked holds the requests sent and not yet answered, by send instant.
	asked map[int64][]assign.SendSupportRequest
	wake  chan struct{}
}

// link returns the link to a VM, or nil if the VM list does not name it.
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
		pending: make(map[ownership.GroupID]assign.SendSupportRequest), asked: make(map[int64][]assign.SendSupportRequest),
	}
	a.links[to] = l
	ctx := a.ctx
	a.wg.Go(func() { l.run(ctx) })
	return l
}

// flushLinks waits until the peers have answered all support requests, or the
// context ends: a release that is lost costs the successor a support time.
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

// ask queues a request; a later one for the same group takes its place.
func (l *supportLink) ask(r assign.SendSupportRequest) {
	l.mu.Lock()
	l.pending[r.Request.Group] = r
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// take removes the queued requests and notes them as asked.
func (l *supportLink) take(sentAt int64) []*pb.GroupSupportRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*pb.GroupSupportRequest, 0, len(l.pending))
	for _, r := range l.pending {
		out = append(out, supportRequestToProto(r.Request))
		l.asked[sentAt] = append(l.asked[sentAt], r)
	}
	clear(l.pending)
	return out
}

// idle reports whether every request has been answered or dropped.
func (l *supportLink) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) == 0 && len(l.asked) == 0
}

// drop forgets all requests, after the stream failed.
func (l *supportLink) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.pending)
	clear(l.asked)
}

// answered returns and forgets the requests that a reply echoes.
func (l *supportLink) answered(echo int64) []assign.SendSupportRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	asked := l.asked[echo]
	delete(l.asked, echo)
	return asked
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
	s, err := l.a.opts.Peers.Open(dialContext, l.address)
	cancel()
	if err != nil {
		l.drop()
		return
	}
	defer l.drop()
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

func (l *supportLink) send(s *peer.Stream) error {
	sentAt := int64(l.a.now())
	groups := l.take(sentAt)
	if len(groups) == 0 {
		return nil
	}
	m := &pb.SupportRequest{Vm: string(l.a.opts.Self), Incarnation: l.a.opts.Incarnation, SentNanos: sentAt, Groups: groups}
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
			l.deliver(r)
		}
	}
}

// deliver hands each group its reply. The core counts support from the instant
// of its own request, which is earlier than the message was sent.
func (l *supportLink) deliver(m *pb.SupportReply) {
	replies := make(map[string]*pb.GroupSupportReply, len(m.Groups))
	for _, r := range m.Groups {
		replies[r.Group] = r
	}
	for _, asked := range l.answered(m.EchoSentNanos) {
		r := replies[string(asked.Request.Group)]
		l.a.mu.Lock()
		g := l.a.groups[asked.Request.Group]
		l.a.mu.Unlock()
		if r != nil && g != nil {
			g.supportAnswered(l.to, m.Incarnation, asked, supportReplyFromProto(r))
		}
	}
}
