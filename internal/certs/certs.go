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

const lookPeriod = 2 * clock.Second // between looks at the files

// Kind classifies a failure.
type Kind string

// The kinds of failure.
const (
	Unreadable Kind = "unreadable"
	Expired    Kind = "expired"
)

// Error is a certificate that cannot be used.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Source holds the certificate in use.
type Source struct {
	CertFile string
	KeyFile  string
	Now      func() time.Time // nil for the system's

	current atomic.Pointer[tls.Certificate]
	changed time.Time // of the files in use or last refused
}

// Load reads the files for the first time.
func (s *Source) Load() error {
	s.changed = s.modified()
	cert, err := s.read()
	if err != nil {
		return err
	}
	s.current.Store(cert)
	return nil
}

// Run takes replaced files into use until the context ends; files that cannot be used leave the certificate as it is.
func (s *Source) Run(ctx context.Context) error {
	ticker := time.NewTicker(lookPeriod.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.look()
		}
	}
}

// TLSConfig returns settings for a server that uses the certificate in use at each handshake.
func (s *Source) TLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.current.Load(), nil },
	}
}

func (s *Source) look() {
	changed := s.modified()
	if changed.Equal(s.changed) {
		return
	}
	s.changed = changed
	cert, err := s.read()
	if err != nil {
		metrics.GetOrCreateCounter(`pier_certificate_events_total{event="refused"}`).Inc()
		slog.Error("certificate refused", "file", s.CertFile, "error", err)
		return
	}
	s.current.Store(cert)
	metrics.GetOrCreateCounter(`pier_certificate_events_total{event="reloaded"}`).Inc()
	slog.Info("certificate reloaded", "file", s.CertFile, "expires", cert.Leaf.NotAfter)
}

// modified returns the time of the later change of the two files.
func (s *Source) modified() time.Time {
	var latest time.Time
	for _, file := range []string{s.CertFile, s.KeyFile} {
		if info, err := os.Stat(file); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

func (s *Source) read() (*tls.Certificate, error) {
	cert, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
	if err != nil {
		return nil, &Error{Op: "load certificate", Kind: Unreadable, Err: err}
	}
	now := time.Now
	if s.Now != nil {
		now = s.Now
	}
	if now().After(cert.Leaf.NotAfter) {
		return nil, &Error{Op: "load certificate", Kind: Expired, Err: eris.New(cert.Leaf.NotAfter.String())}
	}
	return &cert, nil
}
