package relay

import (
	"context"
	"sync"
	"time"

	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/peer"
)

// replanInterval is the interval at which a tree looks at the members again.
const replanInterval = time.Second

// Tree keeps a hub up to date from this VM's place in the relay tree. A VM below
// the roots follows one ancestor; a root follows every source, that is the
// roots of the other data centres and the members named by Sources.
type Tree struct {
	Hub    *Hub
	Client *peer.Client
	// Self is this VM.
	Self string
	// Members returns the VMs of the system.
	Members func() []Member
	// OnBundle, if set, decides whether a received bundle may enter the hub.
	AcceptBundle func(*pb.Bundle) error
	// Sources returns the names of VMs that may publish views. A nil function, or
	// nil while they are not known, means all.
	Sources func() []string

	mu      sync.Mutex
	place   Position
	running map[string]context.CancelFunc
}

// Run follows until the context ends.
func (t *Tree) Run(ctx context.Context) error {
	t.running = make(map[string]context.CancelFunc)
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(replanInterval)
	defer ticker.Stop()
	for {
		t.replan(ctx, &wg)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Root reports whether this VM is a root of its data centre's tree.
func (t *Tree) IsRoot() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.place.IsRoot
}

// RunWhileRoot runs f while this VM is a root, until the context ends.
func (t *Tree) RunWhileRoot(ctx context.Context, f func(context.Context) error) error {
	for ctx.Err() == nil {
		if t.IsRoot() {
			if err := t.runUntilDemoted(ctx, f); err != nil {
				return err
			}
		}
		sleep(ctx, replanInterval)
	}
	return nil
}

func (t *Tree) runUntilDemoted(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	for {
		select {
		case err := <-done:
			return err
		case <-time.After(replanInterval):
		}
		if !t.IsRoot() {
			cancel()
			return <-done
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// replan starts and stops followers to match the present members.
func (t *Tree) replan(ctx context.Context, wg *sync.WaitGroup) {
	members := t.Members()
	place := FindPosition(t.Self, members)
	t.mu.Lock()
	t.place = place
	t.mu.Unlock()
	wanted := t.wanted(place, members)
	for key, cancel := range t.running {
		if _, ok := wanted[key]; !ok {
			cancel()
			delete(t.running, key)
		}
	}
	for key, upstream := range wanted {
		if t.running[key] != nil {
			continue
		}
		followContext, cancel := context.WithCancel(ctx)
		t.running[key] = cancel
		f := &Follower{Hub: t.Hub, Client: t.Client, ParentAddresses: upstream, AcceptBundle: t.AcceptBundle}
		wg.Go(func() { f.Run(followContext) })
	}
}

// wanted names the followers to run: one for the chain of ancestors, or one for
// each source.
func (t *Tree) wanted(place Position, members []Member) map[string]ParentAddresses {
	if !place.IsRoot {
		return map[string]ParentAddresses{"ancestors": t.ancestors}
	}
	sources := t.sourceSet()
	wanted := make(map[string]ParentAddresses)
	for _, m := range members {
		if m.ID == t.Self || (sources != nil && !sources[m.ID]) {
			continue
		}
		address := m.Address
		wanted[address] = func() []string { return []string{address} }
	}
	return wanted
}

func (t *Tree) sourceSet() map[string]bool {
	if t.Sources == nil {
		return nil
	}
	names := t.Sources()
	if names == nil {
		return nil
	}
	set := make(map[string]bool)
	for _, id := range names {
		set[id] = true
	}
	return set
}

func (t *Tree) ancestors() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.place.Ancestors
}
