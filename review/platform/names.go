// Package platform holds the names and documents of the users' platform that the cases of the
// review need, as the pages of the platform write them. No other package of the review has them.
package platform

import "fmt"

// Headers of requests and answers.
const (
	HeaderID        = "Attempt-Id"
	HeaderDeadline  = "Request-Deadline-Ms"
	HeaderSignature = "Response-Signature"
)

// Keys and key prefixes in the store.
const (
	ConfigurationKey = "op/config"
	ServersPrefix    = "servers/"
)

// Kinds of routes.
const (
	KindIdempotent = "idempotent"
	KindOnce       = "non_idempotent" // a request may run once
)

// Ports of a machine, the same on all machines.
const (
	FrontendPort  = 8686
	ReadyPort     = 8680
	directoryPort = 8684
	controlPort   = 8688
	firstPort     = 7740
	lastPort      = 7755
)

// LookupURL returns the URL that asks the directory of a machine for the addresses of a service.
func LookupURL(ip, name, region, zone string) string {
	return fmt.Sprintf("http://%s:%d/resolve?name=%s&region=%s&zone=%s", ip, directoryPort, name, region, zone)
}
