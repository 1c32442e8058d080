package target

import "sync"

// gate holds all handlers while the target is frozen.
type gate struct {
	mu   sync.Mutex
	open chan struct{} // nil while nothing is held
}

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open == nil {
		g.open = make(chan struct{})
	}
}

func (g *gate) unfreeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open != nil {
		close(g.open)
		g.open = nil
	}
}

// wait returns at once unless the target is frozen, else after unfreeze.
func (g *gate) wait() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	if open != nil {
		<-open
	}
}
