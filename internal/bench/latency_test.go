package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/corianderpier/corianderpier/internal/engine"
	"github.com/corianderpier/corianderpier/internal/stage"
	"github.com/corianderpier/corianderpier/pkg/pier"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

const latencyRequests = 400

// residentMemory returns the resident memory of a process in bytes.
func residentMemory(t *testing.T, pid int) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		t.Fatal(err)
	}
	var size, resident int
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		t.Fatal(err)
	}
	return resident * os.Getpagesize()
}

// timeDirectFirstFrame sends a prompt directly to an engine and returns the time to
// the first frame.
func timeDirectFirstFrame(t *testing.T, client *http.Client, addr, name string) time.Duration {
	t.Helper()
	start := time.Now()
	body, err := json.Marshal(engine.CompletionRequest{Attempt: name, Owner: "bench/1", Prompt: name, PromptTokens: 1, MaxTokens: 1})
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.Post("http://"+addr+engine.PathCompletions, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: ") {
			return time.Since(start)
		}
	}
	t.Fatal("no frame")
	return 0
}

// Compares the time to first token through an entry instance with that of a direct
// request, alternating in the same run, and measures the memory of an open stream.
func TestLatency(t *testing.T) {
	if !*full {
		t.Skip("run by make bench")
	}
	site := stage.Start(t, stage.Spec{Entries: 3, Engines: 2, Config: benchConfig(), EngineArgs: []string{"-step", "1ms"}})
	ctx := context.Background()
	client := site.CustomerClient("customer-0")
	viaEntry, direct := hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)
	for i := range latencyRequests {
		name := fmt.Sprint("latency ", i)
		_ = direct.RecordValue(timeDirectFirstFrame(t, http.DefaultClient, site.DirectAddr(site.Targets[i%2]), name).Microseconds())
		answer, err := client.Complete(ctx, wire.Completion{Profile: "short", Prompt: name, MaxTokens: 1})
		if err != nil {
			t.Fatal(err)
		}
		_ = viaEntry.RecordValue(answer.TimeToFirstToken.Microseconds())
	}
	for _, q := range []float64{50, 95, 99} {
		directMicros, viaEntryMicros := direct.ValueAtQuantile(q), viaEntry.ValueAtQuantile(q)
		fmt.Printf("first token p%.0f: direct %d us, through an entry instance %d us, ratio %.2f\n", q, directMicros, viaEntryMicros, float64(viaEntryMicros)/float64(directMicros))
	}
	measureStreamMemory(t)
}

// measureStreamMemory measures the memory that an entry instance uses per open stream.
func measureStreamMemory(t *testing.T) {
	site := stage.Start(t, stage.Spec{
		Entries: 1, Engines: 20, Config: benchConfig(), EngineArgs: []string{"-step", "500ms"},
	})
	entry := site.Entries[0]
	before := residentMemory(t, entry.Pid())
	const streams = 1000
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	var group sync.WaitGroup
	client := &pier.Client{Seeds: []string{entry.CallersAddr}, Customer: "customer-0", SeedsOnly: true, MaxTries: 1}
	for i := range streams {
		group.Go(func() {
			_, _ = client.Complete(ctx, wire.Completion{Profile: "long", Prompt: fmt.Sprint("open ", i), MaxTokens: 100})
		})
	}
	time.Sleep(5 * time.Second)
	status, err := entry.Status()
	if err != nil {
		t.Fatal(err)
	}
	after := residentMemory(t, entry.Pid())
	fmt.Printf("memory: %d KB idle, %d KB with %d open streams, %d KB for each\n", before>>10, after>>10, status.ActiveRequests, (after-before)>>10/max(status.ActiveRequests, 1))
	cancel()
	group.Wait()
}
