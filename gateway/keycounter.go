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
	// onBusy is called with the slots of an owner that is busy; nil is not.
	onBusy func(slots int)
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

// OnBusyOwner sets a function that is called with the slots of the owner of a key when that has refused a
// request, or was expected to answer too late. It must be called before the first request.
func (k *KeyCounter) OnBusyOwner(f func(slots int)) { k.onBusy = f }

func (k *KeyCounter) ownerBusy(slots int) {
	if k.onBusy != nil {
		k.onBusy(slots)
	}
}

// Take returns the counts by service and key, and resets them.
func (k *KeyCounter) Take() map[string]map[shard.Key]uint32 {
	k.mu.Lock()
	defer k.mu.Unlock()
	counts := k.counts
	k.counts = make(map[string]map[shard.Key]uint32, len(counts))
	return counts
}
