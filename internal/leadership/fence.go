package leadership

import "sync/atomic"

// Fence refuses messages of leaders whose epoch has passed. The zero value admits
// every epoch. It is safe for concurrent use.
type Fence struct {
	highest atomic.Uint64
}

// Admit notes an epoch. It returns a *StaleEpochError if a higher one was
// admitted before.
func (f *Fence) Admit(epoch uint64) error {
	for {
		known := f.highest.Load()
		if epoch < known {
			return &StaleEpochError{Got: epoch, Known: known}
		}
		if epoch == known || f.highest.CompareAndSwap(known, epoch) {
			return nil
		}
	}
}

// Highest returns the highest epoch admitted.
func (f *Fence) Highest() uint64 { return f.highest.Load() }
