package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// instance is a process of the system.
type instance struct {
	name, ip string
	settings string // path of its settings file
	callers  string
	ready    string
	metrics  string
	log      *os.File

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// site is a store, servers and instances on loopback addresses.
type site struct {
	root      string // of the repository
	dir       string // temporary
	store     *store
	instances []*instance
	memoryMB  int
	maxFDs    int
	grace     string
	cold      map[string]any // setting that bounds what cold servers get
	settings  map[string]any // further settings
	engine    map[string]any // of the service "engine" in the configuration

	noLong atomic.Bool // no long prompts are sent, see the case cold

	mu     sync.Mutex
	record *os.File
	began  time.Time
}

func newSite(recordPath string) *site {
	root, err := os.Getwd()
	must(err)
	dir, err := os.MkdirTemp("", "review2-")
	must(err)
	record, err := os.Create(recordPath)
	must(err)
	return &site{root: root, dir: dir, store: startStore(), record: record, began: time.Now(), memoryMB: 284, maxFDs: 4100, grace: "8s",
		cold: map[string]any{"slack": 0},
		engine: map[string]any{"name": "engine", "engine": map[string]any{
			"slots": 16, "kv_capacity": 405000, "stride": 34, "step_ms": 1.31, "per_seq_ms": 0.000917, "context_per_k": 0.00213,
			"read_per_s": 154000.0, "pairs_per_m": 0.162, "chunk": 2048, "hop_ms": 0.1, "report_lag_ms": 200,
		}},
	}
}

// note writes a line into the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that were started.
func (s *site) close() {
	for _, i := range s.instances {
		i.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
	_ = s.record.Close()
}

func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	must(err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

func freeUDPPort(ip string) int {
	c, err := net.ListenPacket("udp", ip+":0")
	must(err)
	defer c.Close()
	return c.LocalAddr().(*net.UDPAddr).Port
}

// startInstances starts the first fleet.
func (s *site) startInstances(n int) {
	net := os.Getpid()
	var ips, seeds []string
	for k := range n {
		ip := fmt.Sprintf("127.%d.%d.%d", 16+net/250%100, net%250+1, k+1)
		ips = append(ips, ip)
		seeds = append(seeds, ip+":1")
	}
	peerPort := freeUDPPort(ips[0])
	for k, ip := range ips {
		i := &instance{name: fmt.Sprintf("edge-%d", k+1), ip: ip}
		i.callers = fmt.Sprintf("%s:%d", ip, freePort(ip))
		i.ready = fmt.Sprintf("%s:%d", ip, freePort(ip))
		i.metrics = fmt.Sprintf("%s:%d", ip, freePort(ip))
		i.settings = filepath.Join(s.dir, i.name+".json")
		settings := map[string]any{
			"name": i.name, "zone": fmt.Sprintf("zone-%c", 'a'+k%3), "ip": ip, "callers": i.callers, "readiness": i.ready,
			"directory": fmt.Sprintf("%s:%d", ip, freePort(ip)), "metrics": i.metrics, "ports": fmt.Sprintf("%d,%d", peerPort, peerPort+15),
			"seeds": strings.Join(seeds[:min(n, 3)], ","), "bootstrap": true, "store": s.store.addr, "key": "6b1f0c8e52a94d3787e0f4c2195db3a6",
			"grace": s.grace, "heartbeat": "1200ms", "free": "4000ms", "idle": "9000ms", "hold": "20000ms", "cpu": 0.4, "speed": 1,
			"memory": s.memoryMB, "files": s.maxFDs, "retry": map[string]any{"ratio": 0.2, "extra": 106, "window": "10s"},
			"cold": s.cold, "level": "info",
		}
		maps.Copy(settings, s.settings)
		data, err := json.MarshalIndent(settings, "", "  ")
		must(err)
		must(os.WriteFile(i.settings, data, 0o644))
		i.log, err = os.Create(filepath.Join(s.dir, i.name+".log"))
		must(err)
		s.instances = append(s.instances, i)
		i.start(s.root)
	}
	for _, i := range s.instances {
		if !i.waitReady(15 * time.Second) {
			s.note("instance %s is not ready", i.name)
			s.close()
			os.Exit(2)
		}
	}
	s.note("%d instances are ready", n)
}

// start runs the command of the deploy file.
func (i *instance) start(root string) {
	cmd := exec.Command(filepath.Join(root, "target/corianderpier"), "platform")
	cmd.Dir = root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CORIANDERPIER_SETTINGS=" + i.settings}
	cmd.Stdout, cmd.Stderr = i.log, i.log
	must(cmd.Start())
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cmd, i.ended = cmd, ended
}

// process returns the process that was started last, and what is closed when it has ended.
func (i *instance) process() (*os.Process, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.cmd.Process, i.ended
}

func (i *instance) signal(sig syscall.Signal) {
	p, _ := i.process()
	_ = p.Signal(sig)
}

// awaitEnd waits until the process has ended.
func (i *instance) awaitEnd() {
	_, ended := i.process()
	<-ended
}

func (i *instance) kill() {
	i.signal(syscall.SIGKILL)
	i.awaitEnd()
}

func (i *instance) alive() bool {
	_, ended := i.process()
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

func (i *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + i.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (i *instance) waitReady(most time.Duration) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if i.isReady() {
			return true
		}
	}
	return false
}

// status returns a figure of /proc/PID/status, such as VmRSS, in kB.
func (i *instance) status(field string) int {
	p, _ := i.process()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			var kb int
			_, _ = fmt.Sscan(rest, &kb)
			return kb
		}
	}
	return 0
}

const host = "pier.example"

// route is one route of a configuration.
func route(prefix, kind, service string, timeoutMS int) map[string]any {
	return map[string]any{
		"name": strings.Trim(prefix, "/"), "hostname": host, "path_prefix": prefix, "route_type": kind, "timeout_ms": timeoutMS, "slo_ms": 300,
		"backends": []any{map[string]any{"service": service, "weight": 1}}, "max_attempts": 2, "resumable": kind == "streaming",
		"gap_aim_ms": 250, "priority": 1, "session_affinity": kind == "streaming",
	}
}

// writeConfig writes a configuration as the operator does. Without keys there are no tenants.
func (s *site) writeConfig(version int, keys map[string][]string, routes ...map[string]any) {
	config := map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": "desk", "health_path": "/health"}, s.engine},
		"limits":   map[string]any{"max_body_bytes": 4194304, "max_header_bytes": 16384, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
	}
	if keys != nil {
		var tenants []any
		for name, list := range keys {
			tenants = append(tenants, map[string]any{"name": name, "api_keys": list})
		}
		config["tenants"] = tenants
	}
	s.store.put("config", "main", config)
}

// answer is what a client got.
type answer struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error // no answer, or one that is not complete
}

// exchange sends a request byte for byte on a new connection and reads the answer.
func exchange(ctx context.Context, addr, method, request string) answer {
	var d net.Dialer
	dialCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	conn, err := d.DialContext(dialCtx, "tcp", addr)
	if err != nil {
		return answer{Err: err}
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if _, err := io.WriteString(conn, request); err != nil {
		return answer{Err: err}
	}
	return readAnswer(bufio.NewReader(conn), method)
}

func readAnswer(r *bufio.Reader, method string) answer {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return answer{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, body, err}
}

// text formats a request as it is sent.
func text(method, target, id string, deadlineMS int, body string, headers ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, target, host, id, deadlineMS)
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	if body != "" || method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

// trouble reports whether the disruption is brought about.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// logText returns what the instance has logged.
func (i *instance) logText() string {
	data, _ := os.ReadFile(i.log.Name())
	return string(data)
}

// grep counts the log lines of an instance with a message, by the value of a field.
func (i *instance) grep(message, field string) map[string]int {
	data, _ := os.ReadFile(i.log.Name())
	count := map[string]int{}
	for line := range strings.Lines(string(data)) {
		if !strings.Contains(line, message) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(line), &fields) == nil {
			count[fmt.Sprint(fields[field])]++
		}
	}
	return count
}
