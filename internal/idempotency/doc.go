// Package idempotency runs a caller's non-idempotent request at most once, even
// if the caller retries it through another host.
//
// Each idempotency key has a record, which one host holds: the keeper of the key.
// A host asks the keeper before it sends any byte of the request to an upstream,
// and reports to the keeper how the attempt ended.
//
// There are two kinds of keys. An issued key comes from this system and names the
// process that issued it. That process keeps the record, and hands it over in a
// graceful shutdown; if the process crashes, the record is lost and the key is
// refused from then on. A caller key is chosen by the caller. Its record is kept
// by the leader of a failure domain, see CallerKeyKeeper.
package idempotency
