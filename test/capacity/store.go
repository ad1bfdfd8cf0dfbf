package main

import (
	"context"
	"sync/atomic"

	"peridotrail/internal/kvstore"
)

// countingStore counts the bytes of the values written to a store. It is safe
// for concurrent use.
type countingStore struct {
	kvstore.Store
	written atomic.Int64
}

// CompareAndSwap implements kvstore.Store.
func (s *countingStore) CompareAndSwap(ctx context.Context, w kvstore.Write) (kvstore.Entry, error) {
	s.written.Add(int64(len(w.Value)))
	return s.Store.CompareAndSwap(ctx, w)
}
