//go:build !race

package idempotency

const modelChecks = "3000"
