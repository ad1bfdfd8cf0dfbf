// Package idempotency runs a caller's non-idempotent request at most once, also
// when the caller sends it again through another host.
//
// A keeper holds the record of each idempotency key. A host asks the keeper
// before it lets a byte of the request out and tells it how the request ended.
// Issued keys name the process that keeps them; a process that has gone away
// takes its records along, and its keys are refused from then on. Keys that
// callers make up are kept by the leader of a failure domain, see OwnKeeper.
package idempotency
