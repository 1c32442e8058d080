package target

import "sync"

// freezeGate blocks all handlers while the target is frozen.
type freezeGate struct {
	mu       sync.Mutex
	unfrozen chan struct{} // closed by unfreeze; nil while the target is not frozen
}

func (g *freezeGate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unfrozen == nil {
		g.unfrozen = make(chan struct{})
	}
}

func (g *freezeGate) unfreeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unfrozen != nil {
		close(g.unfrozen)
		g.unfrozen = nil
	}
}

// wait returns at once if the target is not frozen, and otherwise after unfreeze.
func (g *freezeGate) wait() {
	g.mu.Lock()
	unfrozen := g.unfrozen
	g.mu.Unlock()
	if unfrozen != nil {
		<-unfrozen
	}
}
