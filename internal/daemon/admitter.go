package daemon

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"peridotrail/internal/admission"
	"peridotrail/internal/problem"
)

const notReadyRetryAfter = time.Second

// admitter admits keyed requests within the rates of their client accounts. It refuses
// them all if the settings require this while the host may have missed the withdrawal
// of a key.
type admitter struct {
	controlPlane *controlPlane
}

// Admit implements entry.Admitter.
func (a admitter) Admit(ctx context.Context, account string) error {
	if a.controlPlane.distributor.RefuseKeys(time.Now()) {
		return problem.New(problem.TypeNotReady, problem.ExecutedNo, "keys can't be checked while this host is cut off").WithRetryAfter(notReadyRetryAfter)
	}
	err := a.controlPlane.admitter.Admit(ctx, account)
	var notReady *admission.NotReadyError
	if errors.As(err, &notReady) {
		return problem.New(problem.TypeNotReady, problem.ExecutedNo, "this host has no share of the rate yet").WithRetryAfter(notReadyRetryAfter)
	}
	return err
}
