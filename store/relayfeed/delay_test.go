package relayfeed_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/relayfeed"
)

// linkStore is a store behind the link of a VM, which sends calls in order. Answers take no time.
type linkStore struct {
	*countingStore
	mu      sync.Mutex
	wait    time.Duration // How long a call waits that finds the link empty.
	emptyAt time.Time
	silent  atomic.Bool // No call is answered that ends while it is set.
}

// send returns once what is sent now has left the link.
func (s *linkStore) send(ctx context.Context) error {
	s.mu.Lock()
	at := time.Now().Add(s.wait)
	if at.Before(s.emptyAt) {
		at = s.emptyAt
	}
	s.emptyAt = at
	s.mu.Unlock()
	select {
	case <-time.After(time.Until(at)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *linkStore) setWait(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wait = d
}

func (s *linkStore) Poll(ctx context.Context, prefix string, after store.Version, wait time.Duration) ([]store.Event, store.Version, error) {
	if onSent := store.OnSent(ctx); onSent != nil {
		onSent()
	}
	if err := s.send(ctx); err != nil {
		return nil, 0, err
	}
	events, at, err := s.Store.Poll(ctx, prefix, after, wait)
	if s.silent.Load() {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return events, at, err
}

func (s *linkStore) check(ctx context.Context, prefix string, after store.Version) ([]store.Event, store.Version, error) {
	return s.Poll(ctx, prefix, after, 0)
}

// Guards against requests to a target that has left, because the poll that would have told was still in the reader's link.
func TestPollThatWaitsInTheLinkShowsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFeeds(t)
		link := &linkStore{countingStore: p.store}
		reader := relayfeed.New(relayfeed.Options{Direct: link, Now: p.now})
		_, at, err := reader.List(t.Context(), prefix)
		p.is.NoErr(err)
		time.Sleep(100 * time.Millisecond)
		link.setWait(970 * time.Millisecond)
		var poll sync.WaitGroup
		poll.Go(func() {
			_, _, err := reader.Poll(t.Context(), prefix, at, 25*time.Second)
			p.is.NoErr(err)
		})
		time.Sleep(50 * time.Millisecond)
		p.put("a/1")
		changedAt := time.Now()
		for time.Since(changedAt) < 900*time.Millisecond {
			time.Sleep(50 * time.Millisecond)
			if age, ok := reader.ReadAge(); ok && age < time.Since(changedAt) {
				t.Errorf("%v after a change that was not read, ReadAge is %v", time.Since(changedAt), age)
				break
			}
		}
		poll.Wait()
		if ago, ok := reader.ChangedAgo(prefix); ok && ago < time.Since(changedAt) {
			t.Errorf("%v after the change, ChangedAgo is %v at most", time.Since(changedAt), ago)
		}
	})
}

// Guards against an instant of a change that is too late, whatever the link does and whichever calls are answered.
func TestRandomWaitsInTheLinkHideNoChange(t *testing.T) {
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			p := newFeeds(t)
			link := &linkStore{countingStore: p.store}
			opts := relayfeed.Options{Direct: link, Now: p.now}
			if seed%2 == 0 {
				opts.Check = link.check
			}
			reader := relayfeed.New(opts)
			if seed%3 == 0 {
				reader.BecomeReader()
			}
			_, at, err := reader.List(t.Context(), prefix)
			p.is.NoErr(err)
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			defer running.Wait()
			defer cancel()
			// oldest is when the oldest change was made that was not read.
			var mu sync.Mutex
			made, read := map[store.Version]time.Duration{}, at
			running.Go(func() {
				for ctx.Err() == nil {
					_, next, err := reader.Poll(ctx, prefix, read, 5*time.Second)
					if err != nil {
						continue
					}
					mu.Lock()
					for v, madeAt := range made {
						if ago, ok := reader.ChangedAgo(prefix); v > read && v <= next && ok && p.now()-ago > madeAt {
							t.Errorf("seed %d: a change of %v counts as made after %v", seed, madeAt, p.now()-ago)
						}
					}
					read = max(read, next)
					mu.Unlock()
					if rng.IntN(2) == 0 {
						time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
					}
				}
			})
			waits := rand.New(rand.NewPCG(seed, 1))
			for range 200 {
				switch waits.IntN(22) {
				case 0:
					link.setWait(time.Duration(waits.IntN(900)) * time.Millisecond)
				case 1, 2:
					link.setWait(0)
				case 3, 4:
					v := p.put(fmt.Sprintf("a/%d", waits.Int64()))
					mu.Lock()
					made[v] = p.now()
					mu.Unlock()
				case 5:
					running.Go(func() {
						answered := reader.Sending()
						if link.send(ctx) == nil && answered != nil {
							answered()
						}
					})
				case 20:
					// Without checks nothing shows that the store has lost a poll.
					link.silent.Store(opts.Check != nil)
				case 21:
					link.silent.Store(false)
				}
				time.Sleep(time.Duration(1+waits.IntN(60)) * time.Millisecond)
				synctest.Wait()
				age, ok := reader.ReadAge()
				mu.Lock()
				for v, madeAt := range made {
					if ok && v > read && p.now()-age > madeAt {
						t.Errorf("seed %d: ReadAge is %v, but a change %v ago was not read", seed, age, p.now()-madeAt)
					}
				}
				mu.Unlock()
			}
		})
		if t.Failed() {
			return
		}
	}
}

// Guards against a call that was sent before the poll, or is not answered, as a sign that the poll has reached the store.
func TestOnlyCallsAfterThePollShowItsArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFeeds(t)
		reader := relayfeed.New(relayfeed.Options{Direct: &linkStore{countingStore: p.store}, Now: p.now})
		_, at, err := reader.List(t.Context(), prefix)
		p.is.NoErr(err)
		p.is.True(reader.Sending() == nil) // No poll waits.
		age := func() time.Duration {
			d, ok := reader.ReadAge()
			p.is.True(ok)
			return d
		}
		earlier := p.now()
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		var poll sync.WaitGroup
		poll.Go(func() { _, _, _ = reader.Poll(ctx, prefix, at, 25*time.Second) })
		time.Sleep(300 * time.Millisecond)
		p.is.True(reader.Sending() != nil)
		reader.ConfirmDelivery(earlier)
		time.Sleep(300 * time.Millisecond)
		p.is.Equal(age(), 700*time.Millisecond)
		reader.ConfirmDelivery(p.now())
		time.Sleep(200 * time.Millisecond)
		p.is.Equal(age(), 900*time.Millisecond) // The answer to the poll may be on its way.
		time.Sleep(time.Millisecond)
		p.is.Equal(age(), time.Duration(0))
		p.is.True(reader.Sending() == nil)
		cancel()
		poll.Wait()
	})
}

// Guards against lists of all VMs in calm: a reader that makes no other calls must know soon that its poll has arrived.
func TestReaderInCalmIsUpToDate(t *testing.T) {
	for name, asked := range map[string]bool{"age is asked": true, "age is not asked": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFeeds(t)
				link := &linkStore{countingStore: p.store, wait: 20 * time.Millisecond}
				var checks atomic.Int64
				reader := relayfeed.New(relayfeed.Options{
					Direct: link, Now: p.now,
					Check: func(ctx context.Context, prefix string, after store.Version) ([]store.Event, store.Version, error) {
						checks.Add(1)
						return link.check(ctx, prefix, after)
					},
				})
				reader.BecomeReader()
				_, at, err := reader.List(t.Context(), prefix)
				p.is.NoErr(err)
				ctx, cancel := context.WithCancel(t.Context())
				var polls sync.WaitGroup
				polls.Go(func() {
					for ctx.Err() == nil {
						if _, next, err := reader.Poll(ctx, prefix, at, 5500*time.Millisecond); err == nil {
							at = next
							time.Sleep(500 * time.Millisecond)
						}
					}
				})
				for range 600 {
					time.Sleep(100 * time.Millisecond)
					if !asked {
						continue
					}
					age, ok := reader.ReadAge()
					p.is.True(ok)
					p.is.True(age < 900*time.Millisecond)
				}
				// Five checks of each of ten polls, and eleven if the age is asked.
				if asked {
					p.is.True(checks.Load() <= 110)
				} else {
					p.is.True(checks.Load() <= 50)
				}
				cancel()
				polls.Wait()
			})
		})
	}
}
