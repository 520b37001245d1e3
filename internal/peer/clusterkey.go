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
	packetPrefix = 0x01 // first byte of a datagram that is not QUIC
	certLifetime = 10 * 365 * 24 * time.Hour
)

var wrongKeyRefusals = metrics.NewCounter(`pier_peer_refused_total{reason="wrong_key"}`)

// clusterKeys are the keys that are derived from the cluster key. The labels in deriveKeys keep them apart.
type clusterKeys struct {
	signingKey ed25519.PrivateKey
	aead       cipher.AEAD
}

func deriveKeys(key []byte) (clusterKeys, error) {
	signingSeed := sha256.Sum256(append([]byte("pier tls "), key...))
	packetKey := sha256.Sum256(append([]byte("pier packet "), key...))
	block, err := aes.NewCipher(packetKey[:])
	if err != nil {
		return clusterKeys{}, err
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		return clusterKeys{}, err
	}
	return clusterKeys{signingKey: ed25519.NewKeyFromSeed(signingSeed[:]), aead: aead}, nil
}

// tlsConfig returns a configuration, for both sides of a connection, that accepts only peers with the same cluster key.
func (k clusterKeys) tlsConfig() (*tls.Config, error) {
	publicKey := k.signingKey.Public().(ed25519.PublicKey)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(certLifetime),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, publicKey, k.signingKey)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		Certificates:       []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: k.signingKey}},
		NextProtos:         []string{protocol},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // VerifyPeerCertificate compares the public key instead of a name
		MinVersion:         tls.VersionTLS13,
		VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error {
			return verifyKey(raw, publicKey)
		},
	}, nil
}

// verifyKey checks that a peer's only certificate has the wanted public key.
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
	wrongKeyRefusals.Inc()
	return eris.New("the peer does not hold the cluster key")
}

// seal encrypts a datagram: packetPrefix, the nonce, and the ciphertext, which also authenticates the prefix.
func (k clusterKeys) seal(plaintext []byte) []byte {
	packet := make([]byte, 1+k.aead.NonceSize(), 1+k.aead.NonceSize()+len(plaintext)+k.aead.Overhead())
	packet[0] = packetPrefix
	nonce := packet[1:]
	_, _ = rand.Read(nonce)
	return k.aead.Seal(packet, nonce, plaintext, packet[:1])
}

// open decrypts a datagram made by seal; it reports false if the datagram was not made with the same cluster key.
func (k clusterKeys) open(packet []byte) ([]byte, bool) {
	headerSize := 1 + k.aead.NonceSize()
	if len(packet) < headerSize || packet[0] != packetPrefix {
		return nil, false
	}
	plaintext, err := k.aead.Open(nil, packet[1:headerSize], packet[headerSize:], packet[:1])
	return plaintext, err == nil
}
