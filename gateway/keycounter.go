package gateway

import (
	"sync"

	"github.com/basiltally/basiltally/shard"
)

// KeyCounter counts the requests for each key since the last call of Take. It is safe for
// concurrent use.
type KeyCounter struct {
	mu     sync.Mutex
	counts map[string]map[shard.Key]uint32
}

// NewKeyCounter returns a KeyCounter without any counts.
func NewKeyCounter() *KeyCounter { return &KeyCounter{counts: map[string]map[shard.Key]uint32{}} }

// Count counts one request for the key of the service.
func (k *KeyCounter) Count(service string, key shard.Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	m := k.counts[service]
	if m == nil {
		m = map[shard.Key]uint32{}
		k.counts[service] = m
	}
	m[key]++
}

// Take returns the counts by service and key, and resets them.
func (k *KeyCounter) Take() map[string]map[shard.Key]uint32 {
	k.mu.Lock()
	defer k.mu.Unlock()
	counts := k.counts
	k.counts = make(map[string]map[shard.Key]uint32, len(counts))
	return counts
}
