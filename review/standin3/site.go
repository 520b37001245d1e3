package main

import (
	"bytes"
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

func check(err error) {
	if err != nil {
		panic(err)
	}
}

// Record is the file that holds what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	f     *os.File
	began time.Time
}

// Line adds a line with the time since the start.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Site is a small deployment: processes of the system, and stand-ins around them.
type Site struct {
	Store   *Store
	Rec     *Record
	Nodes   []*Node
	Dir     string
	Trouble bool
	ipBase  int
}

// Node is one process of the system.
type Node struct {
	Name, IP, Callers, Ready, Directory string
	Settings                            map[string]any

	site    *Site
	cmd     *exec.Cmd
	exited  chan struct{}
	file    string
	logFile string
	stopped bool // it is to be down
}

var usedPorts = map[int]bool{}

func freePort(network, ip string) int {
	for {
		var port int
		if network == "tcp" {
			l, err := net.Listen("tcp", ip+":0")
			check(err)
			port = l.Addr().(*net.TCPAddr).Port
			_ = l.Close()
		} else {
			l, err := net.ListenPacket("udp", ip+":0")
			check(err)
			port = l.LocalAddr().(*net.UDPAddr).Port
			_ = l.Close()
		}
		if !usedPorts[port] {
			usedPorts[port] = true
			return port
		}
	}
}

func freeAddr(ip string) string { return fmt.Sprintf("%s:%d", ip, freePort("tcp", ip)) }

// NewSite prepares a site with a number of processes, which are not started.
func NewSite(rec *Record, nodes int, trouble bool) *Site {
	dir, err := os.MkdirTemp("", "pier-review")
	check(err)
	s := &Site{Rec: rec, Dir: dir, Trouble: trouble}
	s.Store = NewStore("127.0.0.1")
	port := freePort("udp", "127.0.0.1")
	var seeds []string
	for n := range nodes {
		ip := fmt.Sprintf("127.0.1.%d", n+1)
		if n < 3 {
			seeds = append(seeds, freeAddr(ip))
		}
	}
	for n := range nodes {
		ip := fmt.Sprintf("127.0.1.%d", n+1)
		node := &Node{Name: fmt.Sprintf("edge-%d", n+1), IP: ip, Callers: freeAddr(ip), Ready: freeAddr(ip), Directory: freeAddr(ip), site: s}
		node.file, node.logFile = filepath.Join(dir, node.Name+".json"), filepath.Join(dir, node.Name+".log")
		node.Settings = map[string]any{
			"name": node.Name, "zone": []string{"hobart-a", "hobart-b", "kingston-c"}[n%3], "ip": ip, "callers": node.Callers, "readiness": node.Ready,
			"directory": node.Directory, "metrics": freeAddr(ip), "ports": fmt.Sprintf("%d,%d", port, port+15), "seeds": strings.Join(seeds, ","),
			"bootstrap": true, "store": s.Store.Addr, "key": "0f5d1c8e52a94d3787e0f4c2195db3a7", "grace": "8s", "heartbeat": "1200ms", "free": "4000ms",
			"idle": "9000ms", "hold": "20000ms", "cpu": 0.4, "speed": 1, "memory": 284, "files": 4100,
			"retry": map[string]any{"ratio": 0.2, "extra": 106, "window": "10s"}, "cold": map[string]any{"slack": 0}, "level": "info",
		}
		node.WriteSettings()
		s.Nodes = append(s.Nodes, node)
	}
	return s
}

// WriteSettings writes the settings file.
func (n *Node) WriteSettings() {
	data, err := json.Marshal(n.Settings)
	check(err)
	check(os.WriteFile(n.file, data, 0o600))
}

// Start starts the process by the command of the deploy file.
func (n *Node) Start() {
	out, err := os.OpenFile(n.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	root, err := filepath.Abs(os.Getenv("PIER_ROOT"))
	check(err)
	cmd := exec.Command(filepath.Join(root, "target/corianderpier"), "platform")
	cmd.Dir, cmd.Stdout, cmd.Stderr = root, out, out
	cmd.Env = []string{"CORIANDERPIER_SETTINGS=" + n.file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	n.cmd, n.exited = cmd, make(chan struct{})
	exited := n.exited
	n.site.Rec.Line("process %s started", n.Name)
	go func() {
		err := cmd.Wait()
		n.site.Rec.Line("process %s ended: %v", n.Name, err)
		_ = out.Close()
		close(exited)
	}()
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.site.Rec.Line("signal %v to %s", s, n.Name)
	_ = n.cmd.Process.Signal(s)
}

// Running reports whether the process has not ended.
func (n *Node) Running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// IsReady reports whether the process says that it is ready.
func (n *Node) IsReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + n.Ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}

// StartAll starts all processes and waits until they are ready and have settled.
func (s *Site) StartAll() bool {
	for _, n := range s.Nodes {
		n.Start()
	}
	for _, n := range s.Nodes {
		if !waitFor(15*time.Second, n.IsReady) {
			s.Rec.Line("%s does not become ready", n.Name)
			return false
		}
	}
	time.Sleep(4 * time.Second)
	return true
}

// End ends all processes that were started.
func (s *Site) End() {
	for _, n := range s.Nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
	}
	if dir := os.Getenv("PIER_KEEP_LOGS"); dir != "" {
		for _, n := range s.Nodes {
			data, _ := os.ReadFile(n.logFile)
			_ = os.WriteFile(filepath.Join(dir, n.Name+".log"), data, 0o600)
		}
	}
	_ = os.RemoveAll(s.Dir)
}

// CountLog returns how often a text is in the log of the process.
func (n *Node) CountLog(text string) int {
	data, _ := os.ReadFile(n.logFile)
	return bytes.Count(data, []byte(text))
}

func waitFor(most time.Duration, met func() bool) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if met() {
			return true
		}
	}
	return false
}
