package keys

import (
	"crypto/tls"
	"crypto/x509"
	"slices"
	"sync"
)

// PublishedSource is a Source for hosts that publish their authorities in a place that
// only hosts of the fleet can write to. Each host has an authority of its own, whose key
// exists only in its memory, and accepts the hosts whose authorities are published. It is
// safe for concurrent use.
type PublishedSource struct {
	ReplaceableSource
	authority   *Authority
	certificate *tls.Certificate

	mu      sync.Mutex // guards trusted
	trusted []string
}

// NewPublishedSource creates an authority and the certificate of the named host. The
// source accepts no other host until Trust is called. It returns a *CertificateError on
// failure.
func NewPublishedSource(name Name) (*PublishedSource, error) {
	authority, err := NewEphemeralAuthority()
	if err != nil {
		return nil, err
	}
	certificate, err := authority.Issue(name)
	if err != nil {
		return nil, err
	}
	s := &PublishedSource{authority: authority, certificate: certificate}
	s.Replace(&Material{Certificate: certificate, Authorities: x509.NewCertPool()})
	return s, nil
}

// Authority returns the certificate to publish, in DER form.
func (s *PublishedSource) Authority() []byte { return s.authority.certificate.Raw }

// Trust replaces the published authorities, in DER form. It skips those that are no
// certificates and returns a *CertificateError for the first of them.
func (s *PublishedSource) Trust(authorities []string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(authorities, s.trusted) {
		return nil
	}
	s.trusted = slices.Clone(authorities)
	pool := x509.NewCertPool()
	var firstInvalid error
	for _, der := range authorities {
		certificate, err := x509.ParseCertificate([]byte(der))
		if err != nil {
			if firstInvalid == nil {
				firstInvalid = &CertificateError{Reason: "published authority", Err: err}
			}
			continue
		}
		pool.AddCert(certificate)
	}
	s.Replace(&Material{Certificate: s.certificate, Authorities: pool})
	return firstInvalid
}
