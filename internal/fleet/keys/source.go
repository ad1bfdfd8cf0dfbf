package keys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"
)

// Holder is a Source whose material can be replaced while it is in use.
type Holder struct {
	current atomic.Pointer[Material]
}

// NewHolder returns a Holder of the given material.
func NewHolder(material *Material) *Holder {
	h := &Holder{}
	h.current.Store(material)
	return h
}

// Current implements Source.
func (h *Holder) Current() *Material { return h.current.Load() }

// Replace makes material current. New connections use it at once.
func (h *Holder) Replace(material *Material) { h.current.Store(material) }

// Paths names the PEM files of a host.
type Paths struct {
	Certificate string `json:"certificate"` // chain of the host, leaf first
	Key         string `json:"key"`         // private key of the leaf
	Authorities string `json:"authorities"` // one or more authorities; old and new during a rotation
}

// Files is a Source that reads PEM files and reads them again on Reload.
type Files struct {
	Holder
	paths Paths
}

// Load reads the files. It returns a *CertificateError if one can't be used.
func Load(paths Paths) (*Files, error) {
	files := &Files{paths: paths}
	if err := files.Reload(); err != nil {
		return nil, err
	}
	return files, nil
}

// Reload reads the files again. On failure, also if the new certificate names
// another host, the material in use stays in use.
func (f *Files) Reload() error {
	material, err := read(f.paths)
	if err != nil {
		return err
	}
	if current := f.Current(); current != nil {
		if err := sameName(current, material); err != nil {
			return err
		}
	}
	f.Replace(material)
	return nil
}

func sameName(current, next *Material) error {
	before, err := NameOf(current.Certificate.Leaf)
	if err != nil {
		return err
	}
	after, err := NameOf(next.Certificate.Leaf)
	if err != nil {
		return err
	}
	if before != after {
		return &CertificateError{Reason: "the new certificate names another host: " + after.URI().String()}
	}
	return nil
}

// Watch reloads the files each period and reports failures, until ctx ends.
func (f *Files) Watch(ctx context.Context, period time.Duration, report func(error)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := f.Reload(); err != nil {
			report(err)
		}
	}
}

func read(paths Paths) (*Material, error) {
	certificate, err := tls.LoadX509KeyPair(paths.Certificate, paths.Key)
	if err != nil {
		return nil, &CertificateError{Reason: "loading " + paths.Certificate + " and " + paths.Key, Err: err}
	}
	if _, err := NameOf(certificate.Leaf); err != nil {
		return nil, err
	}
	bundle, err := os.ReadFile(paths.Authorities)
	if err != nil {
		return nil, &CertificateError{Reason: "loading authorities", Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(bundle) {
		return nil, &CertificateError{Reason: "no authority in " + paths.Authorities}
	}
	return &Material{Certificate: &certificate, Authorities: pool}, nil
}
