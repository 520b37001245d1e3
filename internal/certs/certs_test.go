package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// writeCertificate writes a self-signed certificate and its key to the files of the source, with modification times
// that grow with the serial number.
func writeCertificate(t *testing.T, s *Source, serial int64, validFor time.Duration) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: time.Now().Add(validFor)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	for file, block := range map[string]*pem.Block{
		s.CertFile: {Type: "CERTIFICATE", Bytes: der},
		s.KeyFile:  {Type: "EC PRIVATE KEY", Bytes: raw},
	} {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
		later := time.Now().Add(time.Duration(serial) * time.Minute)
		if err := os.Chtimes(file, later, later); err != nil {
			t.Fatal(err)
		}
	}
}

func currentSerial(s *Source) int64 { return s.current.Load().Leaf.SerialNumber.Int64() }

// A replaced certificate is loaded; an expired one is rejected, and the current one stays in use.
func TestReload(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	s := &Source{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem")}
	is.True(s.Load() != nil) // no file
	writeCertificate(t, s, 1, time.Hour)
	is.NoErr(s.Load())
	is.Equal(currentSerial(s), int64(1))
	writeCertificate(t, s, 2, time.Hour)
	s.reloadIfChanged()
	is.Equal(currentSerial(s), int64(2))
	writeCertificate(t, s, 3, -time.Hour)
	s.reloadIfChanged()
	is.Equal(currentSerial(s), int64(2))
}
