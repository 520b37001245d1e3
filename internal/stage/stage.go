package stage

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/engine"
	"github.com/corianderpier/corianderpier/internal/entry"
	"github.com/corianderpier/corianderpier/internal/fake"
	"github.com/corianderpier/corianderpier/internal/roster"
	"github.com/corianderpier/corianderpier/internal/store"
	"github.com/corianderpier/corianderpier/pkg/pier"
)

// ClusterKey is the cluster key of every staged site.
const ClusterKey = "00112233445566778899aabbccddeeff"

const startLimit = 20 * time.Second

// Spec describes a site.
type Spec struct {
	Entries          int
	Zones            []string // of the entry instances, in turn
	Engines          int
	PlainTargets     int
	EngineArgs       []string
	EntryArgs        []string
	Config           config.Config
	StoreAddrFor     func(i int, addr string) string // address of the object API for an entry instance; nil for the real one
	ProcessPerTarget bool                            // a process for each target, so that Stop can end one
	TargetAddrFor    func(id, addr string) string    // address listed for a target; nil for the real one
}

// Site is a running site.
type Site struct {
	Spec      Spec
	StoreAddr string // address of the object API
	Targets   []roster.Target
	Entries   []*Process

	mu              sync.Mutex // for Entries
	t               testing.TB
	bin             string
	targetAddrs     map[string]string // own addresses of the targets
	targetProcesses map[string]*Process
	processes       []*Process
}

var (
	buildOnce sync.Once
	buildDir  string
	buildErr  error
)

// Build compiles the programs once and returns the folder that holds them.
func Build(t testing.TB) string {
	t.Helper()
	buildOnce.Do(func() {
		buildDir, buildErr = os.MkdirTemp("", "pier-bin-")
		if buildErr != nil {
			return
		}
		cmd := exec.Command("go", "build", "-o", buildDir+"/", "./cmd/...")
		cmd.Dir = moduleRoot()
		if out, err := cmd.CombinedOutput(); err != nil {
			buildErr = fmt.Errorf("build: %w: %s", err, out)
		}
	})
	if buildErr != nil {
		t.Fatal(buildErr)
	}
	return buildDir
}

// Cleanup removes the compiled programs; a test package calls it from TestMain.
func Cleanup() {
	if buildDir != "" {
		_ = os.RemoveAll(buildDir)
	}
}

// moduleRoot is the folder of go.mod.
func moduleRoot() string {
	dir, err := os.Getwd()
	for err == nil && dir != "/" {
		if _, statErr := os.Stat(filepath.Join(dir, "go.mod")); statErr == nil {
			return dir
		}
		dir = filepath.Dir(dir)
	}
	return "."
}

// Start runs a site and waits until every entry instance serves.
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

// AddEntry starts one more entry instance.
func (s *Site) AddEntry(args ...string) *Process {
	s.t.Helper()
	i := len(s.Entries)
	p := s.StartEntry(fmt.Sprintf("entry-%d", i), i, args...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Entries = append(s.Entries, p)
	return p
}

// StartEntry starts an entry instance under a name.
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

// PutConfig writes the configuration into the object API, whatever version is there, and returns the new version.
func (s *Site) PutConfig(c config.Config) uint64 {
	data, err := c.Encode()
	if err != nil {
		s.t.Fatal(err)
	}
	return s.put(config.ObjectName, data)
}

// PutTargets writes the instance list.
func (s *Site) PutTargets(targets []roster.Target) uint64 {
	data, err := roster.Roster{Targets: targets}.Encode()
	if err != nil {
		s.t.Fatal(err)
	}
	return s.put(roster.ObjectName, data)
}

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

// StoreClient returns a client of the object API that no fault touches.
func (s *Site) StoreClient() *store.Client { return &store.Client{BaseURL: "http://" + s.StoreAddr} }

// CustomerClient returns a client for a customer.
func (s *Site) CustomerClient(customer string) *pier.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &pier.Client{Customer: customer}
	for _, e := range s.Entries {
		c.Seeds = append(c.Seeds, e.CallersAddr)
	}
	return c
}

// PinnedClient returns a client that uses one entry instance only, however the instance answers the address question.
func (s *Site) PinnedClient(e *Process, customer string) *pier.Client {
	return &pier.Client{Seeds: []string{e.CallersAddr}, Customer: customer, SeedsOnly: true}
}

// WaitReady waits until every running entry instance is ready and knows the others.
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

func (s *Site) running() []*Process {
	var running []*Process
	for _, e := range s.Entries {
		if !e.Ended() {
			running = append(running, e)
		}
	}
	return running
}

func countAlive(status entry.Status) int {
	n := 0
	for _, m := range status.Members {
		if m.State == 0 {
			n++
		}
	}
	return n
}

// Runs returns the actions that all plain services took.
func (s *Site) Runs() []fake.Run {
	s.t.Helper()
	var all []fake.Run
	for _, t := range s.Targets {
		if !strings.HasPrefix(t.ID, "plain") {
			continue
		}
		var runs []fake.Run
		s.get("http://"+s.DirectAddr(t)+"/admin/runs", &runs)
		all = append(all, runs...)
	}
	return all
}

// Holdings returns the memory that all engines keep for owners.
func (s *Site) Holdings() []engine.Holding {
	s.t.Helper()
	var all []engine.Holding
	for _, t := range s.Targets {
		if !strings.HasPrefix(t.ID, "engine") {
			continue
		}
		var held []engine.Holding
		s.get("http://"+s.DirectAddr(t)+engine.PathHoldings, &held)
		all = append(all, held...)
	}
	return all
}

// SetFault sets what goes wrong at a stand-in.
func (s *Site) SetFault(addr string, fault any) {
	s.t.Helper()
	data, err := json.Marshal(fault)
	if err != nil {
		s.t.Fatal(err)
	}
	resp, err := http.Post("http://"+addr+"/admin/fault", "application/json", bytes.NewReader(data))
	if err != nil {
		s.t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// DirectAddr returns the own address of a target, past any proxy.
func (s *Site) DirectAddr(t roster.Target) string { return s.targetAddrs[t.ID] }

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

func (s *Site) addTargets(n int, service, kind string, args []string) {
	s.t.Helper()
	if n == 0 {
		return
	}
	addrs := s.startTargets(n, kind, args)
	for i, addr := range addrs {
		id := fmt.Sprintf("%s-%d", kind, i)
		listed := addr
		if s.Spec.TargetAddrFor != nil {
			listed = s.Spec.TargetAddrFor(id, addr)
		}
		zone := "zone-a"
		if len(s.Spec.Zones) > 0 {
			zone = s.Spec.Zones[i%len(s.Spec.Zones)]
		}
		s.targetAddrs[id] = addr
		models := modelsOf(s.Spec.Config, service)
		s.Targets = append(s.Targets, roster.Target{ID: id, Service: service, Addr: listed, Zone: zone, State: roster.Live, Models: models})
	}
}

// startTargets starts the targets of one kind, in one process or one each, and returns their addresses.
func (s *Site) startTargets(n int, kind string, args []string) []string {
	s.t.Helper()
	if !s.Spec.ProcessPerTarget {
		list := strings.TrimSuffix(strings.Repeat("127.0.0.1:0,", n), ",")
		return strings.Split(s.startProcess(kind, "pierfake", append([]string{kind, "-listen", list}, args...)...).firstLine(s.t), ",")
	}
	var addrs []string
	for i := range n {
		name := fmt.Sprintf("%s-%d", kind, i)
		s.targetProcesses[name] = s.startProcess(name, "pierfake", append([]string{kind, "-listen", "127.0.0.1:0"}, args...)...)
	}
	for i := range n {
		addrs = append(addrs, s.targetProcesses[fmt.Sprintf("%s-%d", kind, i)].firstLine(s.t))
	}
	return addrs
}

// KillTarget ends a target of a site with separate processes at once.
func (s *Site) KillTarget(id string) { s.targetProcesses[id].Kill() }

// Close ends all processes before the test does.
func (s *Site) Close() {
	for _, p := range s.processes {
		p.Kill()
	}
}

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

// Eventually fails the test unless the condition holds within the limit.
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

func firstService(c config.Config, kind config.ServiceKind) string {
	for _, s := range c.Services {
		if s.Kind == kind {
			return s.Name
		}
	}
	return ""
}

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
