package balance

import "sync"

// Budget bounds retries and hedges to a share of the requests, so that a fault
// cannot multiply the load.
type Budget struct {
	// ratio is the part of a token that each request earns, reserve the most
	// tokens that are kept.
	ratio, reserve float64

	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a full Budget.
func NewBudget(ratio, reserve float64) *Budget {
	return &Budget{ratio: ratio, reserve: reserve, tokens: reserve}
}

// Earn adds what one request earns.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.reserve)
}

// Spend takes one token and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
