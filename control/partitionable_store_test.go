package control

import (
	"context"
	"sync"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// partitionableStore is a store that can be made unavailable to one daemon.
type partitionableStore struct {
	tw.Store
	mu          sync.Mutex
	unavailable bool
}

func (s *partitionableStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

func (s *partitionableStore) check() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return tw.ErrUnavailable
	}
	return nil
}

func (s *partitionableStore) Get(ctx context.Context, key tw.Key) (tw.Item, error) {
	if err := s.check(); err != nil {
		return tw.Item{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *partitionableStore) Put(ctx context.Context, key tw.Key, value []byte, base tw.Version) (tw.Version, error) {
	if err := s.check(); err != nil {
		return 0, err
	}
	return s.Store.Put(ctx, key, value, base)
}

func (s *partitionableStore) Watch(ctx context.Context, key tw.Key, seen tw.Version, wait time.Duration) (tw.Item, error) {
	if err := s.check(); err != nil {
		return tw.Item{}, err
	}
	item, err := s.Store.Watch(ctx, key, seen, wait)
	if down := s.check(); down != nil {
		return tw.Item{}, down
	}
	return item, err
}

func (s *partitionableStore) Acquire(ctx context.Context, req tw.LeaseRequest) (tw.Lease, error) {
	if err := s.check(); err != nil {
		return tw.Lease{}, err
	}
	return s.Store.Acquire(ctx, req)
}
