package certs

import (
	"context"
	"crypto/tls"
	"log/slog"
	"os"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const pollInterval = 2 * clock.Second // between checks of the files' modification times

// Kind classifies an Error.
type Kind string

// The kinds of failure.
const (
	Unreadable Kind = "unreadable" // the files are missing, malformed or do not belong together
	Expired    Kind = "expired"
)

// Error reports a certificate that cannot be used.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Source holds the server certificate and reloads it when its files change.
type Source struct {
	CertFile string           // PEM
	KeyFile  string           // PEM
	Now      func() time.Time // time.Now if nil

	current atomic.Pointer[tls.Certificate]
	modTime time.Time // of the files at the last attempt to load them, successful or not
}

// Load loads the certificate for the first time.
func (s *Source) Load() error {
	s.modTime = s.latestModTime()
	cert, err := s.loadKeyPair()
	if err != nil {
		return err
	}
	s.current.Store(cert)
	return nil
}

// Run reloads the certificate whenever its files change, until the context ends. If the new files cannot be used, it
// keeps the current certificate.
func (s *Source) Run(ctx context.Context) error {
	clock.Every(ctx, pollInterval, s.reloadIfChanged)
	return nil
}

// TLSConfig returns a server configuration that looks up the current certificate at each handshake.
func (s *Source) TLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.current.Load(), nil },
	}
}

func (s *Source) reloadIfChanged() {
	modTime := s.latestModTime()
	if modTime.Equal(s.modTime) {
		return
	}
	s.modTime = modTime
	cert, err := s.loadKeyPair()
	if err != nil {
		metrics.GetOrCreateCounter(`pier_certificate_events_total{event="refused"}`).Inc()
		slog.Error("cannot reload certificate, keeping the current one", "file", s.CertFile, "error", err)
		return
	}
	s.current.Store(cert)
	metrics.GetOrCreateCounter(`pier_certificate_events_total{event="reloaded"}`).Inc()
	slog.Info("certificate reloaded", "file", s.CertFile, "expires", cert.Leaf.NotAfter)
}

// latestModTime returns the later modification time of the two files, or the zero time if neither exists.
func (s *Source) latestModTime() time.Time {
	var latest time.Time
	for _, file := range []string{s.CertFile, s.KeyFile} {
		if info, err := os.Stat(file); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

func (s *Source) loadKeyPair() (*tls.Certificate, error) {
	cert, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
	if err != nil {
		return nil, &Error{Op: "load certificate", Kind: Unreadable, Err: err}
	}
	now := time.Now
	if s.Now != nil {
		now = s.Now
	}
	if now().After(cert.Leaf.NotAfter) {
		return nil, &Error{Op: "load certificate", Kind: Expired, Err: eris.New("not valid after " + cert.Leaf.NotAfter.String())}
	}
	return &cert, nil
}
