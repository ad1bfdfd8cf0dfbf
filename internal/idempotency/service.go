package idempotency

import (
	"context"

	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
)

// Service answers the messages of other hosts. Own may be nil.
type Service struct {
	Keeper *Keeper
	Own    *OwnKeeper
}

// Register adds the handlers to registry.
func (s *Service) Register(registry fleet.Registry) {
	registry.Handle(KindBegin, handler(s.Begin))
	registry.Handle(KindFinish, handler(s.Finish))
	registry.Handle(KindHandover, handler(s.Keeper.receive))
	registry.Handle(KindMoved, handler(func(r *relocation) received {
		s.Keeper.noteMoved(*r)
		return received{}
	}))
	if s.Own != nil {
		registry.Handle(KindOwnHandover, handler(s.Own.receive))
	}
}

// handler makes a message handler of a function.
func handler[Request, Reply any](answer func(*Request) Reply) fleet.Handler {
	return func(_ context.Context, _ host.Identity, decode fleet.Decoder) (any, error) {
		var request Request
		if err := decode(&request); err != nil {
			return nil, err
		}
		return answer(&request), nil
	}
}

// Begin decides about an issued or an own key.
func (s *Service) Begin(b *Begin) Decision {
	if IsIssued(b.Key) {
		return s.Keeper.Begin(b)
	}
	if s.Own == nil {
		return Decision{Verdict: VerdictUnknown}
	}
	return s.Own.Begin(b)
}

// Finish records the end of an attempt under an issued or an own key.
func (s *Service) Finish(f *Finish) Finished {
	if IsIssued(f.Key) {
		return s.Keeper.Finish(f)
	}
	if s.Own == nil {
		return Finished{}
	}
	return s.Own.Finish(f)
}
