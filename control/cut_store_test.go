package control

import (
	"context"
	"sync"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// cutStore is a store that one daemon can be cut off from.
type cutStore struct {
	tw.Store
	mu  sync.Mutex
	cut bool
}

func (s *cutStore) set(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
}

func (s *cutStore) down() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cut {
		return tw.ErrUnavailable
	}
	return nil
}

func (s *cutStore) Get(ctx context.Context, key tw.Key) (tw.Item, error) {
	if err := s.down(); err != nil {
		return tw.Item{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *cutStore) Put(ctx context.Context, key tw.Key, value []byte, base tw.Version) (tw.Version, error) {
	if err := s.down(); err != nil {
		return 0, err
	}
	return s.Store.Put(ctx, key, value, base)
}

func (s *cutStore) Watch(ctx context.Context, key tw.Key, seen tw.Version, wait time.Duration) (tw.Item, error) {
	if err := s.down(); err != nil {
		return tw.Item{}, err
	}
	item, err := s.Store.Watch(ctx, key, seen, wait)
	if cut := s.down(); cut != nil {
		return tw.Item{}, cut
	}
	return item, err
}

func (s *cutStore) Acquire(ctx context.Context, req tw.LeaseRequest) (tw.Lease, error) {
	if err := s.down(); err != nil {
		return tw.Lease{}, err
	}
	return s.Store.Acquire(ctx, req)
}
