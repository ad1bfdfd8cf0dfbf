// Package keys holds the certificates that authenticate hosts to each other.
//
// A host certificate names its host and failure domain in a URI subject
// alternative name, peridotrail://DOMAIN/HOST. Both sides of a connection
// verify the other's chain against the current set of authorities.
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

// Name is the identity that a certificate vouches for.
type Name struct {
	Host          host.ID
	FailureDomain string
}

// URI returns the subject alternative name of a host's certificate.
func (n Name) URI() *url.URL {
	return &url.URL{Scheme: uriScheme, Host: n.FailureDomain, Path: "/" + string(n.Host)}
}

// Matches reports whether the announced identity is the one vouched for.
func (n Name) Matches(identity host.Identity) bool {
	return n.Host == identity.ID && n.FailureDomain == identity.FailureDomain
}

// NameOf returns the identity in a certificate. It returns a *CertificateError
// unless exactly one URI of the peridotrail scheme is present.
func NameOf(certificate *x509.Certificate) (Name, error) {
	var found []Name
	for _, uri := range certificate.URIs {
		if uri.Scheme != uriScheme {
			continue
		}
		id := strings.TrimPrefix(uri.Path, "/")
		found = append(found, Name{Host: host.ID(id), FailureDomain: uri.Host})
	}
	if len(found) != 1 {
		return Name{}, &CertificateError{Reason: fmt.Sprintf("%d names of scheme %s, want 1", len(found), uriScheme)}
	}
	if found[0].Host == "" || found[0].FailureDomain == "" {
		return Name{}, &CertificateError{Reason: "empty host or failure domain in the name"}
	}
	return found[0], nil
}

// CertificateError is a certificate that is not accepted.
type CertificateError struct {
	Reason string
	Err    error // may be nil
}

// Error implements error.
func (e *CertificateError) Error() string {
	if e.Err == nil {
		return "certificate: " + e.Reason
	}
	return "certificate: " + e.Reason + ": " + e.Err.Error()
}

// Unwrap returns the underlying failure.
func (e *CertificateError) Unwrap() error { return e.Err }

// Material is one consistent set of a host's certificate and the authorities
// that it trusts. It is immutable.
type Material struct {
	Certificate *tls.Certificate
	Authorities *x509.CertPool
}

// Source gives the current material. It is safe for concurrent use and returns
// a new value after a rotation.
type Source interface {
	Current() *Material
}

// Verify checks a peer's chain against the authorities of m at time now and
// returns the identity that it vouches for.
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
