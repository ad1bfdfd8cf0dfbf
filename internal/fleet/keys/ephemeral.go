package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"time"
)

const (
	ephemeralLifetime = 30 * 24 * time.Hour
	ephemeralBackdate = time.Hour
	serialBits        = 120
)

// Authority is a certificate authority whose key exists only in the memory of this
// process. It is safe for concurrent use.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewEphemeralAuthority creates an authority for the quick start and for tests. Its
// key is never written to disk. It returns a *CertificateError on failure.
func NewEphemeralAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, &CertificateError{Reason: "key generation", Err: err}
	}
	template, err := newTemplate("peridotrail ephemeral authority")
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
	certificate, err := createCertificate(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// Certificate returns the authority's own certificate.
func (a *Authority) Certificate() *x509.Certificate { return a.certificate }

// Issue creates a key and a certificate for the named host.
func (a *Authority) Issue(name Name) (*tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, &CertificateError{Reason: "key generation", Err: err}
	}
	template, err := newTemplate(string(name.Host))
	if err != nil {
		return nil, err
	}
	template.URIs = []*url.URL{name.URI()}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	leaf, err := createCertificate(template, a.certificate, key, a.key)
	if err != nil {
		return nil, err
	}
	return &tls.Certificate{Certificate: [][]byte{leaf.Raw}, PrivateKey: key, Leaf: leaf}, nil
}

// Material issues a certificate for the named host. The returned material trusts
// this authority and others.
func (a *Authority) Material(name Name, others ...*Authority) (*Material, error) {
	certificate, err := a.Issue(name)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	for _, other := range others {
		pool.AddCert(other.certificate)
	}
	return &Material{Certificate: certificate, Authorities: pool}, nil
}

func newTemplate(commonName string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, &CertificateError{Reason: "serial number", Err: err}
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: commonName},
		NotBefore:    now.Add(-ephemeralBackdate),
		NotAfter:     now.Add(ephemeralLifetime),
	}, nil
}

func createCertificate(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (*x509.Certificate, error) {
	raw, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return nil, &CertificateError{Reason: "signing", Err: err}
	}
	certificate, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, &CertificateError{Reason: "parsing", Err: err}
	}
	return certificate, nil
}

// PEM holds the contents of the PEM files of one host.
type PEM struct {
	Certificate []byte
	Key         []byte
	Authorities []byte
}

// EncodePEM encodes a certificate, its key and the trusted authorities as the files
// that Load reads.
func EncodePEM(certificate *tls.Certificate, authorities ...*x509.Certificate) (PEM, error) {
	key, err := x509.MarshalPKCS8PrivateKey(certificate.PrivateKey)
	if err != nil {
		return PEM{}, &CertificateError{Reason: "encoding the key", Err: err}
	}
	files := PEM{Key: pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key})}
	for _, raw := range certificate.Certificate {
		files.Certificate = append(files.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw})...)
	}
	for _, authority := range authorities {
		files.Authorities = append(files.Authorities, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: authority.Raw})...)
	}
	return files, nil
}
