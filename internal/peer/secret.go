package peer

import (
	"bytes"
	"crypto/aes"
	"crypto/cipher"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
)

const (
	protocol     = "pier/1"
	packetMark   = 0x01 // first byte of a datagram that is not QUIC
	certLifetime = 10 * 365 * 24 * time.Hour
)

var wrongPeer = metrics.NewCounter(`pier_peer_refused_total{reason="wrong_key"}`)

// secret derives all keys between entry instances from the cluster key.
type secret struct {
	signing ed25519.PrivateKey
	aead    cipher.AEAD
}

func newSecret(key []byte) (secret, error) {
	seed := sha256.Sum256(append([]byte("pier tls "), key...))
	seal := sha256.Sum256(append([]byte("pier packet "), key...))
	block, err := aes.NewCipher(seal[:])
	if err != nil {
		return secret{}, err
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		return secret{}, err
	}
	return secret{signing: ed25519.NewKeyFromSeed(seed[:]), aead: aead}, nil
}

// config accepts only peers that hold the same cluster key.
func (s secret) config() (*tls.Config, error) {
	public := s.signing.Public().(ed25519.PublicKey)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(certLifetime),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, s.signing)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		Certificates:       []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: s.signing}},
		NextProtos:         []string{protocol},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // the key is compared below instead of a name
		MinVersion:         tls.VersionTLS13,
		VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error {
			return verifyKey(raw, public)
		},
	}, nil
}

func verifyKey(raw [][]byte, want ed25519.PublicKey) error {
	if len(raw) == 1 {
		cert, err := x509.ParseCertificate(raw[0])
		if err == nil {
			got, ok := cert.PublicKey.(ed25519.PublicKey)
			if ok && bytes.Equal(got, want) {
				return nil
			}
		}
	}
	wrongPeer.Inc()
	return eris.New("the peer does not hold the cluster key")
}

func (s secret) seal(plain []byte) []byte {
	packet := make([]byte, 1+s.aead.NonceSize(), 1+s.aead.NonceSize()+len(plain)+s.aead.Overhead())
	packet[0] = packetMark
	nonce := packet[1:]
	_, _ = rand.Read(nonce)
	return s.aead.Seal(packet, nonce, plain, packet[:1])
}

func (s secret) open(packet []byte) ([]byte, bool) {
	head := 1 + s.aead.NonceSize()
	if len(packet) < head || packet[0] != packetMark {
		return nil, false
	}
	plain, err := s.aead.Open(nil, packet[1:head], packet[head:], packet[:1])
	return plain, err == nil
}
