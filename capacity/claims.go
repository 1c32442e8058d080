package capacity

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/basiltally/basiltally/claim"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/memstore"
)

// Names of the sweeps of the claim service.
const (
	SweepClaimRounds = "claims-at-once"
	SweepClaimsKept  = "claims-kept"
)

// Names of the series of the claim service.
const (
	ClaimServiceCPU = "claim and finish, CPU"
	ClaimWrites     = "writes of the store"
	ClaimWriteBytes = "bytes written"
	ClaimHeap       = "heap without the store's"
)

const (
	// claimRounds is the number of measured rounds over which costs are averaged.
	claimRounds = 5
	// claimRoundSize is the number of concurrent claims in each round while the kept claims
	// accumulate.
	claimRoundSize      = 400
	claimAppendInterval = 20 * time.Millisecond
	claimMaxRunTime     = 10 * time.Second
)

// countingStore counts the writes to a store in memory, and their bytes.
type countingStore struct {
	*memstore.Store
	writes, bytes atomic.Int64
}

// Put implements store.Store.
func (s *countingStore) Put(ctx context.Context, key string, value []byte, expected store.Version) (store.Version, error) {
	s.writes.Add(1)
	s.bytes.Add(int64(len(value)))
	return s.Store.Put(ctx, key, value, expected)
}

// valueBytes returns the total size of all values in the store.
func (s *countingStore) valueBytes() (total int64) {
	objects, _, _ := s.List(context.Background(), "")
	for _, o := range objects {
		total += int64(len(o.Value))
	}
	return total
}

// claimBench runs a claim service with one partition on a store in memory.
type claimBench struct {
	store   *countingStore
	service *claim.Service
	stop    context.CancelFunc
	stopped sync.WaitGroup
	nextKey int
}

func newClaimBench() (*claimBench, error) {
	b := &claimBench{store: &countingStore{Store: memstore.New(memstore.Options{History: 1})}}
	opts := claim.Options{Store: b.store, Self: "vm-00001", Partitions: 1, AppendInterval: claimAppendInterval, FinishDelay: claimAppendInterval}
	service, err := claim.NewService(opts, claim.NewMetrics(prometheus.NewRegistry()))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.service, b.stop = service, cancel
	b.stopped.Go(func() { _ = service.Run(ctx) })
	return b, nil
}

func (b *claimBench) close() {
	b.stop()
	b.stopped.Wait()
}

// round claims and finishes a number of requests concurrently.
func (b *claimBench) round(claims int) error {
	var wg sync.WaitGroup
	failures := make(chan error, claims)
	for range claims {
		key := fmt.Sprintf("filing-%08d", b.nextKey)
		b.nextKey++
		wg.Go(func() {
			if err := b.claimAndFinish(key); err != nil {
				failures <- err
			}
		})
	}
	wg.Wait()
	close(failures)
	return <-failures
}

func (b *claimBench) claimAndFinish(key string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	decision, err := b.service.Claim(ctx, claim.Request{Tenant: "wales", Class: "filing", Key: key, MaxRunTime: claimMaxRunTime})
	if err != nil {
		return err
	}
	if decision.Kind != claim.Run {
		return errors.Errorf("claim of %s was not granted: %s", key, decision.Code())
	}
	outcome := claim.Outcome{Status: 200, ContentType: "application/json", Body: make([]byte, answerBytes)}
	return b.service.Finish(ctx, decision.Ref, outcome)
}

func measureClaimRounds(s *Sweep, claims int, _ time.Duration) error {
	b, err := newClaimBench()
	if err != nil {
		return err
	}
	defer b.close()
	if err := b.round(claims); err != nil {
		return err
	}
	cpu, writes, bytes := cpuTime(), b.store.writes.Load(), b.store.bytes.Load()
	for range claimRounds {
		if err := b.round(claims); err != nil {
			return err
		}
	}
	x := float64(claims)
	s.addSample(ClaimServiceCPU, "ns", x, float64(cpuTime()-cpu)/claimRounds)
	s.addSample(ClaimWrites, "", x, float64(b.store.writes.Load()-writes)/claimRounds)
	s.addSample(ClaimWriteBytes, "B", x, float64(b.store.bytes.Load()-bytes)/claimRounds)
	return nil
}

func measureClaimsKept(s *Sweep, claims int, _ time.Duration) error {
	before := liveHeap()
	b, err := newClaimBench()
	if err != nil {
		return err
	}
	defer b.close()
	for b.nextKey < claims {
		if err := b.round(claimRoundSize); err != nil {
			return err
		}
	}
	s.addSample(ClaimHeap, "B", float64(claims), float64(liveHeap())-float64(before)-float64(b.store.valueBytes()))
	return nil
}
