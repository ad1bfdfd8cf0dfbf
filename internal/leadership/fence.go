package leadership

import "sync/atomic"

// Fence rejects messages of leaders whose epoch is lower than the highest one admitted.
// The zero value admits every epoch. It is safe for concurrent use.
type Fence struct {
	highest atomic.Uint64
}

// Admit admits an epoch. It returns a *StaleEpochError if a higher one was admitted
// before.
func (f *Fence) Admit(epoch uint64) error {
	for {
		highest := f.highest.Load()
		if epoch < highest {
			return &StaleEpochError{Got: epoch, Known: highest}
		}
		if epoch == highest || f.highest.CompareAndSwap(highest, epoch) {
			return nil
		}
	}
}

// Highest returns the highest epoch admitted, zero if there is none.
func (f *Fence) Highest() uint64 { return f.highest.Load() }
