package entry

import (
	"encoding/hex"
	"flag"
	"fmt"
	"net"
	"net/url"
	"regexp"
	"strings"

	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/route"
)

const minKey = 16 // bytes of the cluster key

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Settings are what one entry instance is told at its start.
type Settings struct {
	Name      string // of the instance
	Zone      string // availability zone
	Listen    string // TCP address for callers
	Peer      string // UDP address for other instances
	Advertise string // address that other instances use in place of Peer, if any
	Admin     string // TCP address for operators
	Store     string // URL of the object API
	Instances string // URL of the instance list
	Key       string // cluster key, hexadecimal
	Peers     string // peer addresses, comma-separated, for a start while the object API is down
	Policy    string
	Level     string // of the log
	Cert      string // certificate file for callers, if any
	CertKey   string // its key file
}

// Flags registers the settings.
func (s *Settings) Flags(fs *flag.FlagSet) {
	fs.StringVar(&s.Name, "name", "", "name of this instance, unique among the instances")
	fs.StringVar(&s.Zone, "zone", "", "availability zone of this instance")
	fs.StringVar(&s.Listen, "listen", "127.0.0.1:7070", "IP address and TCP port for callers")
	fs.StringVar(&s.Peer, "peer", "127.0.0.1:7071", "IP address and UDP port for other instances")
	fs.StringVar(&s.Advertise, "advertise", "", "IP address and UDP port that other instances use; empty for that of -peer")
	fs.StringVar(&s.Admin, "admin", "127.0.0.1:7072", "IP address and TCP port for operators")
	fs.StringVar(&s.Store, "store", "", "URL of the object API")
	fs.StringVar(&s.Instances, "instances", "", "URL of the instance list")
	fs.StringVar(&s.Key, "key", "", "cluster key, at least 32 hexadecimal digits, the same on every instance")
	fs.StringVar(&s.Peers, "peers", "", "peer addresses, comma-separated, for a start while the object API is down")
	fs.StringVar(&s.Policy, "policy", "balanced", "routing policy: balanced, or a baseline for comparison: roundrobin, least, fifo")
	fs.StringVar(&s.Level, "level", "info", "log level: debug, info, warn or error")
	fs.StringVar(&s.Cert, "cert", "", "PEM certificate file for callers; empty for plain HTTP")
	fs.StringVar(&s.CertKey, "certkey", "", "PEM key file of the certificate")
}

// Check returns every problem of the settings.
func (s Settings) Check() []config.Problem {
	var problems []config.Problem
	add := func(bad bool, field, got, allowed string) {
		if bad {
			problems = append(problems, config.Problem{Field: field, Got: fmt.Sprintf("%q", got), Allowed: allowed})
		}
	}
	const names = "a lower-case letter, then up to 62 letters, digits and hyphens"
	add(!namePattern.MatchString(s.Name), "name", s.Name, names)
	add(!namePattern.MatchString(s.Zone), "zone", s.Zone, names)
	add(!address(s.Listen), "listen", s.Listen, "an IP address and a port")
	add(!address(s.Peer), "peer", s.Peer, "an IP address and a port")
	add(s.Advertise != "" && !address(s.Advertise), "advertise", s.Advertise, "an IP address and a port, or nothing")
	add(!address(s.Admin), "admin", s.Admin, "an IP address and a port")
	add(!web(s.Store), "store", s.Store, "an http or https URL")
	add(!web(s.Instances), "instances", s.Instances, "an http or https URL")
	key, err := hex.DecodeString(s.Key)
	add(err != nil || len(key) < minKey, "key", mask(s.Key), "at least 32 hexadecimal digits")
	for _, peer := range s.seeds() {
		add(!address(peer), "peers", peer, "IP addresses and ports, comma-separated")
	}
	_, known := route.PolicyNamed(s.Policy)
	add(!known, "policy", s.Policy, "balanced, roundrobin, least or fifo")
	add(!strings.Contains(" debug info warn error ", " "+s.Level+" "), "level", s.Level, "debug, info, warn or error")
	add((s.Cert == "") != (s.CertKey == ""), "cert", s.Cert, "given together with certkey, or neither")
	return problems
}

func (s Settings) seeds() []string {
	if s.Peers == "" {
		return nil
	}
	return strings.Split(s.Peers, ",")
}

func address(s string) bool {
	host, port, err := net.SplitHostPort(s)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

func web(s string) bool {
	u, err := url.Parse(s)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

// mask keeps a key out of messages.
func mask(key string) string { return fmt.Sprintf("%d characters", len(key)) }
