package idempotency

import (
	"context"

	"peridotrail/internal/fleet"
	"peridotrail/internal/host"
)

// Service handles the messages that other hosts send to the keepers of this host.
// CallerKeys may be nil; Begin then returns VerdictUnknown for every caller key.
type Service struct {
	Keeper     *Keeper
	CallerKeys *CallerKeyKeeper
}

// Register adds the message handlers to registry.
func (s *Service) Register(registry fleet.Registry) {
	registry.Handle(KindBegin, handler(s.Begin))
	registry.Handle(KindFinish, handler(s.Finish))
	registry.Handle(KindHandover, handler(s.Keeper.receiveBatch))
	registry.Handle(KindRelocation, handler(func(r *relocation) handoverAck {
		s.Keeper.recordHolder(*r)
		return handoverAck{}
	}))
	if s.CallerKeys != nil {
		registry.Handle(KindCallerKeyHandover, handler(s.CallerKeys.receiveBatch))
	}
}

// handler adapts a function from a request to a reply to a message handler.
func handler[Request, Reply any](handle func(*Request) Reply) fleet.Handler {
	return func(_ context.Context, _ host.Identity, decode fleet.Decoder) (any, error) {
		var request Request
		if err := decode(&request); err != nil {
			return nil, err
		}
		return handle(&request), nil
	}
}

// Begin decides whether an attempt may run, for an issued key or a caller key.
func (s *Service) Begin(b *Begin) Decision {
	if IsIssued(b.Key) {
		return s.Keeper.Begin(b)
	}
	if s.CallerKeys == nil {
		return Decision{Verdict: VerdictUnknown}
	}
	return s.CallerKeys.Begin(b)
}

// Finish records how an attempt ended, for an issued key or a caller key.
func (s *Service) Finish(f *Finish) Finished {
	if IsIssued(f.Key) {
		return s.Keeper.Finish(f)
	}
	if s.CallerKeys == nil {
		return Finished{}
	}
	return s.CallerKeys.Finish(f)
}
