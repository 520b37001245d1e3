package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names and keys of the small deployment.
const (
	hostname   = "desk.example"
	tenant     = "derwent"
	apiKey     = "n2ctnfzs989anu6wsjnb"
	clusterKey = "7d0c3be1f2a94d3787e0f4c2195db3a6"
	program    = "target/corianderpier" // as the deploy file builds and runs it
)

// recorder writes what happens to record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	fails []string
}

func newRecorder(dir string) *recorder {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fatal(err)
	}
	return &recorder{file: f, began: time.Now()}
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// broken records that the rule is broken.
func (r *recorder) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.log("RULE BROKEN: %s", text)
	r.mu.Lock()
	r.fails = append(r.fails, text)
	r.mu.Unlock()
}

func (r *recorder) brokenCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.fails)
}

// site is a small deployment on loopback addresses.
type site struct {
	rec       *recorder
	dir       string // temporary folder for settings and logs
	store     *store
	storeAddr string
	ports     map[string]int // by purpose, the same for all instances
	instances []*instance
	services  []map[string]any
	routes    []map[string]any
	keys      []string // of the tenant
	version   uint64
}

// instance is one process of the system.
type instance struct {
	site *site
	name string
	ip   string

	mu  sync.Mutex
	cmd *exec.Cmd
	out chan struct{} // closed when the process has ended
}

// newSite starts the store, and reserves ports for a number of instances.
func newSite(rec *recorder, count int) *site {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fatal(err)
	}
	s := &site{rec: rec, dir: dir, store: newStore(), ports: make(map[string]int), version: 7, keys: []string{apiKey}}
	running = s
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	s.storeAddr = l.Addr().String()
	go func() { _ = http.Serve(l, s.store) }()
	for _, purpose := range []string{"callers", "readiness", "directory", "metrics", "control", "peers"} {
		s.ports[purpose] = freePort(count)
	}
	for n := range count {
		s.instances = append(s.instances, &instance{site: s, name: fmt.Sprintf("edge-hobart-a-%d", n+1), ip: instanceIP(n)})
	}
	return s
}

func instanceIP(n int) string { return fmt.Sprintf("127.0.0.%d", 11+n) }

// freePort returns a port that is free at the addresses of all instances, for TCP and UDP.
func freePort(count int) int {
	for range 100 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fatal(err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		free := true
		for n := range count {
			addr := fmt.Sprintf("%s:%d", instanceIP(n), port)
			t, err := net.Listen("tcp", addr)
			if err != nil {
				free = false
				break
			}
			u, err := net.ListenPacket("udp", addr)
			_ = t.Close()
			if err != nil {
				free = false
				break
			}
			_ = u.Close()
		}
		if free {
			return port
		}
	}
	fatal(fmt.Errorf("no free port"))
	return 0
}

// publish writes the configuration as the operator does.
func (s *site) publish() {
	s.version++
	s.store.put("config", "main", map[string]any{
		"version": s.version, "routes": s.routes, "services": s.services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": s.keys, "priority": 1}},
	})
	s.rec.log("configuration %d acknowledged by the store", s.version)
}

func (i *instance) addr(purpose string) string {
	return fmt.Sprintf("%s:%d", i.ip, i.site.ports[purpose])
}

// start starts the process with the settings that the template of the deploy file gives.
func (i *instance) start(bootstrap bool) {
	s := i.site
	var seeds []string
	for _, other := range s.instances[:min(3, len(s.instances))] {
		seeds = append(seeds, other.addr("control"))
	}
	settings := map[string]any{
		"name": i.name, "zone": "hobart-a", "ip": i.ip, "callers": i.addr("callers"), "readiness": i.addr("readiness"),
		"directory": i.addr("directory"), "metrics": i.addr("metrics"), "ports": fmt.Sprintf("%d,%d", s.ports["peers"], s.ports["peers"]),
		"seeds": strings.Join(seeds, ","), "store": s.storeAddr, "key": clusterKey, "grace": "8s", "heartbeat": "1200ms",
		"free": "4000ms", "idle": "9000ms", "hold": "20000ms", "cpu": 0.4, "speed": 1,
		"retry": map[string]any{"ratio": 0.2, "extra": 106, "window": "10s"}, "level": "info",
	}
	if bootstrap {
		settings["bootstrap"] = true
	}
	path := filepath.Join(s.dir, i.name+".json")
	data, _ := json.Marshal(settings)
	if err := os.WriteFile(path, data, 0o600); err != nil {
		fatal(err)
	}
	logFile, err := os.OpenFile(filepath.Join(s.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal(err)
	}
	cmd := exec.Command(program, "platform")
	cmd.Env = append(os.Environ(), "CORIANDERPIER_SETTINGS="+path)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		fatal(err)
	}
	out := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = logFile.Close()
		close(out)
	}()
	i.mu.Lock()
	i.cmd, i.out = cmd, out
	i.mu.Unlock()
	s.rec.log("%s started, process %d", i.name, cmd.Process.Pid)
}

// signal sends a signal to the process.
func (i *instance) signal(sig syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd != nil {
		_ = i.cmd.Process.Signal(sig)
		i.site.rec.log("%s gets %s", i.name, sig)
	}
}

// ended returns the channel that is closed when the process has ended.
func (i *instance) ended() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.out
}

// kill kills the process and waits for its end.
func (i *instance) kill() {
	i.signal(syscall.SIGKILL)
	<-i.ended()
}

// ready asks the readiness address, as the platform does.
func (i *instance) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + i.addr("readiness") + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the instance is ready.
func (i *instance) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if i.ready() {
			i.site.rec.log("%s is ready", i.name)
			return true
		}
	}
	i.site.rec.log("%s is not ready after %s", i.name, limit)
	return false
}

// startAll starts all instances for the first time and waits until they are ready.
func (s *site) startAll() bool {
	for _, i := range s.instances {
		i.start(true)
	}
	for _, i := range s.instances {
		if !i.awaitReady(20 * time.Second) {
			return false
		}
	}
	return true
}

// close ends all processes and removes the temporary folder, unless KEEP is set.
func (s *site) close() {
	for _, i := range s.instances {
		i.mu.Lock()
		cmd, out := i.cmd, i.out
		i.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill()
			<-out
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}

// running is the site whose processes fatal ends.
var running *site

// fatal ends the program because the case could not run.
func fatal(err error) {
	if running != nil {
		running.close()
	}
	fmt.Fprintln(os.Stderr, "review: the case could not run:", err)
	os.Exit(2)
}
