package main

import (
	"context"
	"sync/atomic"

	"peridotrail/internal/platform"
)

// countingStore counts the bytes of written values.
type countingStore struct {
	platform.Store
	written atomic.Int64
}

// CompareAndSwap implements platform.Store.
func (s *countingStore) CompareAndSwap(ctx context.Context, w platform.Write) (platform.Entry, error) {
	s.written.Add(int64(len(w.Value)))
	return s.Store.CompareAndSwap(ctx, w)
}
