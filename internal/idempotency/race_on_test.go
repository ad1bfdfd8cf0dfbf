//go:build race

package idempotency

const modelChecks = "1500" // the race detector is slow
