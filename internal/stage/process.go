package stage

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/corianderpier/corianderpier/internal/entry"
)

// Process is a running program of a site: an entry instance or a fake.
type Process struct {
	Name        string
	CallersAddr string // the API for callers
	PeerAddr    string
	AdminAddr   string

	cmd  *exec.Cmd
	log  *logBuffer
	done chan struct{}
	err  error
}

// Status returns the status that an entry instance reports.
func (p *Process) Status() (entry.Status, error) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + p.AdminAddr + "/status")
	if err != nil {
		return entry.Status{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var status entry.Status
	err = json.NewDecoder(resp.Body).Decode(&status)
	return status, err
}

// Metric returns the sum of all metrics whose line in the text exposition begins with
// the prefix, or 0 if they cannot be read.
func (p *Process) Metric(prefix string) float64 {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + p.AdminAddr + "/metrics")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	total := 0.0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if !strings.HasPrefix(lines.Text(), prefix) {
			continue
		}
		fields := strings.Fields(lines.Text())
		var value float64
		if _, err := fmt.Sscan(fields[len(fields)-1], &value); err == nil {
			total += value
		}
	}
	return total
}

// Kill kills the process, also if it is frozen, and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Freeze suspends the process (SIGSTOP).
func (p *Process) Freeze() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues a frozen process (SIGCONT).
func (p *Process) Resume() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// Drain asks the process to stop gracefully (SIGTERM).
func (p *Process) Drain() { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

// Ended reports whether the process has exited.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Wait waits for the process to exit and returns its exit error, or
// context.DeadlineExceeded after the limit.
func (p *Process) Wait(limit time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(limit):
		return context.DeadlineExceeded
	}
}

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Log returns the output of the process so far.
func (p *Process) Log() string { return p.log.String() }

// firstLine waits for the first line of the process's output.
func (p *Process) firstLine(t testing.TB) string {
	t.Helper()
	return strings.TrimSpace(p.waitLog(t, ""))
}

// waitLog waits for a complete line of output that contains the text and returns it.
func (p *Process) waitLog(t testing.TB, text string) string {
	t.Helper()
	var found string
	Eventually(t, startLimit, p.Name+" has started", func() bool {
		lines := strings.SplitAfter(p.log.String(), "\n")
		for _, line := range lines {
			if strings.HasSuffix(line, "\n") && strings.Contains(line, text) {
				found = line
				return true
			}
		}
		if p.Ended() {
			t.Fatalf("%s ended: %s", p.Name, p.log.String())
		}
		return false
	})
	return found
}

// logBuffer collects the output of a process.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write appends to the buffer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String returns the content of the buffer.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

var _ io.Writer = (*logBuffer)(nil)
