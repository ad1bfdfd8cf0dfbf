// Package keys manages the certificates with which hosts authenticate to each other.
//
// A host certificate names its host and failure domain in a URI subject
// alternative name, peridotrail://DOMAIN/HOST. Both sides of a connection
// verify the chain of the other side against their current authorities.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/url"
	"strings"
	"time"

	"peridotrail/internal/host"
)

const uriScheme = "peridotrail"

// Name is the identity that a certificate attests.
type Name struct {
	Host          host.ID
	FailureDomain string
}

// URI returns the URI that is the subject alternative name of the host's
// certificate.
func (n Name) URI() *url.URL {
	return &url.URL{Scheme: uriScheme, Host: n.FailureDomain, Path: "/" + string(n.Host)}
}

// Matches reports whether identity has the host ID and failure domain of n.
func (n Name) Matches(identity host.Identity) bool {
	return n.Host == identity.ID && n.FailureDomain == identity.FailureDomain
}

// NameOf returns the identity in a certificate. It returns a *CertificateError
// unless exactly one URI of the peridotrail scheme is present.
func NameOf(certificate *x509.Certificate) (Name, error) {
	var names []Name
	for _, uri := range certificate.URIs {
		if uri.Scheme != uriScheme {
			continue
		}
		id := strings.TrimPrefix(uri.Path, "/")
		names = append(names, Name{Host: host.ID(id), FailureDomain: uri.Host})
	}
	if len(names) != 1 {
		return Name{}, &CertificateError{Reason: fmt.Sprintf("%d names of scheme %s, want 1", len(names), uriScheme)}
	}
	if names[0].Host == "" || names[0].FailureDomain == "" {
		return Name{}, &CertificateError{Reason: "empty host or failure domain in the name"}
	}
	return names[0], nil
}

// CertificateError reports a certificate that can't be created, loaded or accepted.
type CertificateError struct {
	Reason string
	Err    error // cause; may be nil
}

// Error implements error.
func (e *CertificateError) Error() string {
	if e.Err == nil {
		return "certificate: " + e.Reason
	}
	return "certificate: " + e.Reason + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *CertificateError) Unwrap() error { return e.Err }

// Material is the certificate of a host and the authorities that the host trusts.
// It is immutable.
type Material struct {
	Certificate *tls.Certificate
	Authorities *x509.CertPool
}

// Source provides the current material. Current is safe for concurrent use and
// returns a new value after a rotation.
type Source interface {
	Current() *Material
}

// Verify checks a peer's chain against the authorities of m at time now and
// returns the identity in its leaf certificate. It returns a *CertificateError if
// the chain is not accepted.
func (m *Material) Verify(chain []*x509.Certificate, now time.Time) (Name, error) {
	if len(chain) == 0 {
		return Name{}, &CertificateError{Reason: "the peer sent none"}
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range chain[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         m.Authorities,
		Intermediates: intermediates,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		return Name{}, &CertificateError{Reason: "chain not accepted", Err: err}
	}
	return NameOf(chain[0])
}
