package entry

import (
	"encoding/hex"
	"flag"
	"fmt"
	"net"
	"net/url"
	"strings"

	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/route"
)

const minClusterKeyBytes = 16

// Settings are the start parameters of an entry instance.
type Settings struct {
	Name               string // of the instance
	Zone               string // availability zone
	CallersAddr        string // TCP address for callers
	PeerAddr           string // UDP address for other instances
	AdvertisedPeerAddr string // address that other instances use instead of PeerAddr, if any
	AdminAddr          string // TCP address of the status and metrics pages for operators
	StoreURL           string // URL of the object API
	InstanceListURL    string // URL of the instance list, the service discovery of the targets
	ClusterKey         string // cluster key, hexadecimal
	SeedAddrs          string // peer addresses, comma-separated, to join through while the object API is down
	RoutingPolicy      string
	LogLevel           string
	CertFile           string // certificate file for callers, if any
	CertKeyFile        string // private key file of CertFile
}

// RegisterFlags registers a flag for each setting.
func (s *Settings) RegisterFlags(fs *flag.FlagSet) {
	fs.StringVar(&s.Name, "name", "", "name of this instance, unique among the instances")
	fs.StringVar(&s.Zone, "zone", "", "availability zone of this instance")
	fs.StringVar(&s.CallersAddr, "listen", "127.0.0.1:7070", "IP address and TCP port for callers")
	fs.StringVar(&s.PeerAddr, "peer", "127.0.0.1:7071", "IP address and UDP port for other instances")
	fs.StringVar(&s.AdvertisedPeerAddr, "advertise", "", "IP address and UDP port that other instances use; empty for that of -peer")
	fs.StringVar(&s.AdminAddr, "admin", "127.0.0.1:7072", "IP address and TCP port for operators")
	fs.StringVar(&s.StoreURL, "store", "", "URL of the object API")
	fs.StringVar(&s.InstanceListURL, "instances", "", "URL of the instance list")
	fs.StringVar(&s.ClusterKey, "key", "", "cluster key, at least 32 hexadecimal digits, the same on every instance")
	fs.StringVar(&s.SeedAddrs, "peers", "", "peer addresses, comma-separated, to join through while the object API is down")
	fs.StringVar(&s.RoutingPolicy, "policy", "balanced", "routing policy: balanced, or a baseline for comparison: roundrobin, least, fifo")
	fs.StringVar(&s.LogLevel, "level", "info", "log level: debug, info, warn or error")
	fs.StringVar(&s.CertFile, "cert", "", "PEM certificate file for callers; empty for plain HTTP")
	fs.StringVar(&s.CertKeyFile, "certkey", "", "PEM key file of the certificate")
}

// Check returns every invalid setting.
func (s Settings) Check() []config.Problem {
	var problems []config.Problem
	add := func(bad bool, field, got, allowed string) {
		if bad {
			problems = append(problems, config.Problem{Field: field, Got: fmt.Sprintf("%q", got), Allowed: allowed})
		}
	}
	const names = "a lower-case letter, then up to 62 letters, digits and hyphens"
	add(!config.ValidName(s.Name), "name", s.Name, names)
	add(!config.ValidName(s.Zone), "zone", s.Zone, names)
	add(!isAddrPort(s.CallersAddr), "listen", s.CallersAddr, "an IP address and a port")
	add(!isAddrPort(s.PeerAddr), "peer", s.PeerAddr, "an IP address and a port")
	add(s.AdvertisedPeerAddr != "" && !isAddrPort(s.AdvertisedPeerAddr), "advertise", s.AdvertisedPeerAddr, "an IP address and a port, or nothing")
	add(!isAddrPort(s.AdminAddr), "admin", s.AdminAddr, "an IP address and a port")
	add(!isHTTPURL(s.StoreURL), "store", s.StoreURL, "an http or https URL")
	add(!isHTTPURL(s.InstanceListURL), "instances", s.InstanceListURL, "an http or https URL")
	key, err := hex.DecodeString(s.ClusterKey)
	add(err != nil || len(key) < minClusterKeyBytes, "key", redactKey(s.ClusterKey), "at least 32 hexadecimal digits")
	for _, peer := range s.seedAddrs() {
		add(!isAddrPort(peer), "peers", peer, "IP addresses and ports, comma-separated")
	}
	_, known := route.PolicyNamed(s.RoutingPolicy)
	add(!known, "policy", s.RoutingPolicy, "balanced, roundrobin, least or fifo")
	add(!strings.Contains(" debug info warn error ", " "+s.LogLevel+" "), "level", s.LogLevel, "debug, info, warn or error")
	add((s.CertFile == "") != (s.CertKeyFile == ""), "cert", s.CertFile, "given together with certkey, or neither")
	return problems
}

func (s Settings) seedAddrs() []string {
	if s.SeedAddrs == "" {
		return nil
	}
	return strings.Split(s.SeedAddrs, ",")
}

func isAddrPort(s string) bool {
	host, port, err := net.SplitHostPort(s)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

func isHTTPURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

// redactKey describes a key without revealing it, for error messages.
func redactKey(key string) string { return fmt.Sprintf("%d characters", len(key)) }
