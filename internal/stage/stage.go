package stage

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/entry"
	"github.com/corianderpier/corianderpier/internal/roster"
	"github.com/corianderpier/corianderpier/internal/store"
	"github.com/corianderpier/corianderpier/pkg/pier"
)

// ClusterKey is the cluster key of every site that this package starts.
const ClusterKey = "00112233445566778899aabbccddeeff"

// startLimit bounds the start of one process, and of the whole site.
const startLimit = 20 * time.Second

// Spec describes the site to start.
type Spec struct {
	Entries          int      // entry instances
	Zones            []string // availability zones, assigned to instances and targets in turn; nil for one zone
	Engines          int
	PlainTargets     int
	EngineArgs       []string
	EntryArgs        []string
	Config           config.Config
	StoreAddrFor     func(i int, addr string) string // returns the address at which entry instance i reaches the object API; nil for addr
	ProcessPerTarget bool                            // runs each target in a process of its own, as KillTarget needs it
	TargetAddrFor    func(id, addr string) string    // returns the address of a target in the instance list; nil for addr
}

// Site is a running site of local processes.
type Site struct {
	Spec      Spec
	StoreAddr string // address of the object API
	Targets   []roster.Target
	Entries   []*Process

	mu              sync.Mutex // for Entries
	t               testing.TB
	bin             string
	targetAddrs     map[string]string // by target ID; the addresses on which the targets listen
	targetProcesses map[string]*Process
	processes       []*Process
}

// Start starts a site and waits until every entry instance is ready. The processes
// are killed at the end of the test.
func Start(t testing.TB, spec Spec) *Site {
	t.Helper()
	s := &Site{Spec: spec, t: t, bin: Build(t), targetAddrs: make(map[string]string), targetProcesses: make(map[string]*Process)}
	s.StoreAddr = s.startProcess("store", "pierfake", "store").firstLine(t)
	s.addTargets(spec.Engines, engineService(spec.Config), "engine", spec.EngineArgs)
	s.addTargets(spec.PlainTargets, plainService(spec.Config), "plain", nil)
	s.PutConfig(spec.Config)
	s.PutTargets(s.Targets)
	for range spec.Entries {
		s.AddEntry(spec.EntryArgs...)
	}
	s.WaitReady(startLimit)
	return s
}

// AddEntry starts one more entry instance and adds it to Entries.
func (s *Site) AddEntry(args ...string) *Process {
	s.t.Helper()
	i := len(s.Entries)
	p := s.StartEntry(fmt.Sprintf("entry-%d", i), i, args...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Entries = append(s.Entries, p)
	return p
}

// StartEntry starts an entry instance with the given name and does not add it to
// Entries. The index i selects its zone and its address of the object API.
func (s *Site) StartEntry(name string, i int, args ...string) *Process {
	s.t.Helper()
	storeAddr := s.StoreAddr
	if s.Spec.StoreAddrFor != nil {
		storeAddr = s.Spec.StoreAddrFor(i, s.StoreAddr)
	}
	zone := "zone-a"
	if len(s.Spec.Zones) > 0 {
		zone = s.Spec.Zones[i%len(s.Spec.Zones)]
	}
	all := append([]string{
		"-name", name, "-zone", zone, "-listen", "127.0.0.1:0", "-peer", "127.0.0.1:0", "-admin", "127.0.0.1:0",
		"-store", "http://" + storeAddr, "-instances", "http://" + storeAddr, "-key", ClusterKey,
	}, args...)
	p := s.startProcess(name, "corianderpier", all...)
	started := p.waitLog(s.t, `"msg":"instance started"`)
	var line struct{ Listen, Peer, Admin string }
	if err := json.Unmarshal([]byte(started), &line); err != nil {
		s.t.Fatal(err)
	}
	p.CallersAddr, p.PeerAddr, p.AdminAddr = line.Listen, line.Peer, line.Admin
	return p
}

// PutConfig replaces the configuration in the object API, whatever its version, and
// returns the new version.
func (s *Site) PutConfig(c config.Config) uint64 {
	data, err := c.Encode()
	if err != nil {
		s.t.Fatal(err)
	}
	return s.put(config.ObjectName, data)
}

// PutTargets replaces the instance list in the object API and returns its version.
func (s *Site) PutTargets(targets []roster.Target) uint64 {
	data, err := roster.Roster{Targets: targets}.Encode()
	if err != nil {
		s.t.Fatal(err)
	}
	return s.put(roster.ObjectName, data)
}

// put replaces an object, whatever its version, and returns the new version.
func (s *Site) put(name string, data []byte) uint64 {
	s.t.Helper()
	client := s.StoreClient()
	ctx := context.Background()
	old, err := client.Get(ctx, name)
	if err != nil && !store.Is(err, store.NotFound) {
		s.t.Fatal(err)
	}
	version, err := client.Put(ctx, name, old.Version, data)
	if err != nil {
		s.t.Fatal(err)
	}
	return version
}

// StoreClient returns a client that reaches the object API directly, not through the
// address that Spec.StoreAddrFor returns.
func (s *Site) StoreClient() *store.Client { return &store.Client{BaseURL: "http://" + s.StoreAddr} }

// CustomerClient returns a client for a customer with all entry instances as seeds.
func (s *Site) CustomerClient(customer string) *pier.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &pier.Client{Customer: customer}
	for _, e := range s.Entries {
		c.Seeds = append(c.Seeds, e.CallersAddr)
	}
	return c
}

// PinnedClient returns a client for a customer that uses one entry instance only and
// ignores the addresses that the instance advertises.
func (s *Site) PinnedClient(e *Process, customer string) *pier.Client {
	return &pier.Client{Seeds: []string{e.CallersAddr}, Customer: customer, SeedsOnly: true}
}

// WaitReady waits until every running entry instance is ready and sees all others as
// alive.
func (s *Site) WaitReady(limit time.Duration) {
	s.t.Helper()
	running := s.running()
	Eventually(s.t, limit, "all entry instances ready", func() bool {
		for _, e := range running {
			status, err := e.Status()
			if err != nil || !status.Ready || countAlive(status) != len(running) {
				return false
			}
		}
		return true
	})
}

// running returns the entry instances that have not exited.
func (s *Site) running() []*Process {
	var running []*Process
	for _, e := range s.Entries {
		if !e.Ended() {
			running = append(running, e)
		}
	}
	return running
}

// countAlive returns how many members an instance sees as alive.
func countAlive(status entry.Status) int {
	n := 0
	for _, m := range status.Members {
		if m.State == 0 {
			n++
		}
	}
	return n
}

func (s *Site) get(url string, into any) {
	s.t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		s.t.Fatal(err)
	}
}

// Close kills all processes before the end of the test.
func (s *Site) Close() {
	for _, p := range s.processes {
		p.Kill()
	}
}

// startProcess starts a compiled command. It is killed at the end of the test; if
// the test failed, its output is written to the directory PIER_TEST_LOGS.
func (s *Site) startProcess(name, program string, args ...string) *Process {
	s.t.Helper()
	p := &Process{Name: name, log: &logBuffer{}, done: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(s.bin, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.processes = append(s.processes, p)
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	s.t.Cleanup(func() {
		p.Kill()
		if s.t.Failed() && os.Getenv("PIER_TEST_LOGS") != "" {
			_ = os.WriteFile(filepath.Join(os.Getenv("PIER_TEST_LOGS"), name+".log"), []byte(p.log.String()), 0o600)
		}
	})
	return p
}

// Eventually polls the condition and fails the test if it does not hold within the
// limit.
func Eventually(t testing.TB, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func engineService(c config.Config) string { return firstService(c, config.Engine) }

func plainService(c config.Config) string { return firstService(c, config.Plain) }

// firstService returns the name of the first service of a kind, or "".
func firstService(c config.Config, kind config.ServiceKind) string {
	for _, s := range c.Services {
		if s.Kind == kind {
			return s.Name
		}
	}
	return ""
}

// modelsOf returns the models that profiles of a service use.
func modelsOf(c config.Config, service string) []string {
	seen := make(map[string]bool)
	var models []string
	for _, p := range c.Profiles {
		if p.Service == service && p.Model != "" && !seen[p.Model] {
			seen[p.Model] = true
			models = append(models, p.Model)
		}
	}
	return models
}
