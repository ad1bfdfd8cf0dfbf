package daemon

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"peridotrail/internal/admission"
	"peridotrail/internal/problem"
)

const notReadyRetry = time.Second

// admitter admits keyed requests unless the operators want them refused because
// this host may have missed the withdrawal of a key.
type admitter struct {
	state *state
}

// Admit implements entry.Admitter.
func (a admitter) Admit(ctx context.Context, account string) error {
	if a.state.distributor.RefuseKeys(time.Now()) {
		return problem.New(problem.TypeNotReady, problem.ExecutedNo, "keys can't be checked while this host is cut off").WithRetryAfter(notReadyRetry)
	}
	err := a.state.admitter.Admit(ctx, account)
	var notReady *admission.NotReadyError
	if errors.As(err, &notReady) {
		return problem.New(problem.TypeNotReady, problem.ExecutedNo, "this host has no share of the rate yet").WithRetryAfter(notReadyRetry)
	}
	return err
}
