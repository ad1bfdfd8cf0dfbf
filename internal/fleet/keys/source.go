package keys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"
)

// ReplaceableSource is a Source whose material can be replaced while it is in use.
type ReplaceableSource struct {
	current atomic.Pointer[Material]
}

// NewReplaceableSource returns a source with the given material.
func NewReplaceableSource(material *Material) *ReplaceableSource {
	s := &ReplaceableSource{}
	s.current.Store(material)
	return s
}

// Current implements Source.
func (s *ReplaceableSource) Current() *Material { return s.current.Load() }

// Replace makes material current. Handshakes that start later use it.
func (s *ReplaceableSource) Replace(material *Material) { s.current.Store(material) }

// Paths are the paths of a host's PEM files.
type Paths struct {
	Certificate string `json:"certificate"` // chain of the host, leaf first
	Key         string `json:"key"`         // private key of the leaf
	Authorities string `json:"authorities"` // trusted authorities; old and new ones during a rotation
}

// FileSource is a Source that reads PEM files, and reads them again on Reload.
type FileSource struct {
	ReplaceableSource
	paths Paths
}

// Load reads the files. It returns a *CertificateError if a file can't be used.
func Load(paths Paths) (*FileSource, error) {
	files := &FileSource{paths: paths}
	if err := files.Reload(); err != nil {
		return nil, err
	}
	return files, nil
}

// Reload reads the files again. It returns a *CertificateError, and keeps the
// current material, if a file can't be used or if the new certificate names another
// host.
func (f *FileSource) Reload() error {
	material, err := readMaterial(f.paths)
	if err != nil {
		return err
	}
	if current := f.Current(); current != nil {
		if err := checkSameName(current, material); err != nil {
			return err
		}
	}
	f.Replace(material)
	return nil
}

func checkSameName(current, next *Material) error {
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

// Watch calls Reload each period until ctx ends, and passes its errors to report.
func (f *FileSource) Watch(ctx context.Context, period time.Duration, report func(error)) {
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

func readMaterial(paths Paths) (*Material, error) {
	certificate, err := tls.LoadX509KeyPair(paths.Certificate, paths.Key)
	if err != nil {
		return nil, &CertificateError{Reason: "loading " + paths.Certificate + " and " + paths.Key, Err: err}
	}
	if _, err := NameOf(certificate.Leaf); err != nil {
		return nil, err
	}
	authorities, err := os.ReadFile(paths.Authorities)
	if err != nil {
		return nil, &CertificateError{Reason: "loading authorities", Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorities) {
		return nil, &CertificateError{Reason: "no authority in " + paths.Authorities}
	}
	return &Material{Certificate: &certificate, Authorities: pool}, nil
}
