package relay

import (
	"context"
	"sync"
	"time"

	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/peer"
)

// membersCheckInterval is the interval at which a Tree reads the list of members again.
const membersCheckInterval = time.Second

// Tree runs the Followers that keep a hub up to date, according to this VM's
// position in the relay tree. A VM below the roots follows one ancestor at a time;
// a root follows every other member that Sources names, in all data centres.
type Tree struct {
	Hub    *Hub
	Client *peer.Client
	// Self is the ID of this VM.
	Self string
	// Members returns the VMs of the system in all data centres.
	Members func() []Member
	// AcceptBundle, if set, returns an error for a received bundle that must not
	// be published in the hub.
	AcceptBundle func(*pb.Bundle) error
	// Sources returns the IDs of the VMs that may publish views, or nil while they
	// are not known. If Sources is nil or returns nil, a root follows all members.
	Sources func() []string

	mu       sync.Mutex
	position Position
	running  map[string]context.CancelFunc
}

// Run starts and stops Followers as the members change, until the context ends.
func (t *Tree) Run(ctx context.Context) error {
	t.running = make(map[string]context.CancelFunc)
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(membersCheckInterval)
	defer ticker.Stop()
	for {
		t.updateFollowers(ctx, &wg)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// IsRoot reports whether this VM is a root of its data centre's tree.
func (t *Tree) IsRoot() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.position.IsRoot
}

// RunWhileRoot runs f while this VM is a root, until the context ends or f returns
// an error. It cancels the context of f when this VM is no longer a root.
func (t *Tree) RunWhileRoot(ctx context.Context, f func(context.Context) error) error {
	for ctx.Err() == nil {
		if t.IsRoot() {
			if err := t.runUntilDemoted(ctx, f); err != nil {
				return err
			}
		}
		sleep(ctx, membersCheckInterval)
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
		case <-time.After(membersCheckInterval):
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

// updateFollowers starts and stops Followers to match the current members.
func (t *Tree) updateFollowers(ctx context.Context, wg *sync.WaitGroup) {
	members := t.Members()
	position := FindPosition(t.Self, members)
	t.mu.Lock()
	t.position = position
	t.mu.Unlock()
	wanted := t.wantedFollowers(position, members)
	for key, cancel := range t.running {
		if _, ok := wanted[key]; !ok {
			cancel()
			delete(t.running, key)
		}
	}
	for key, parents := range wanted {
		if t.running[key] != nil {
			continue
		}
		followContext, cancel := context.WithCancel(ctx)
		t.running[key] = cancel
		f := &Follower{Hub: t.Hub, Client: t.Client, ParentAddresses: parents, AcceptBundle: t.AcceptBundle}
		wg.Go(func() { f.Run(followContext) })
	}
}

// wantedFollowers returns the parent addresses of each Follower to run, by a key
// of the Follower: one Follower for the chain of ancestors, or one for each source.
func (t *Tree) wantedFollowers(position Position, members []Member) map[string]ParentAddresses {
	if !position.IsRoot {
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
	return t.position.Ancestors
}
