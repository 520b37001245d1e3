package proof

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/stage"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

// post sends a body without package pier and returns the status and, unless it is 200,
// the decoded problem.
func post(t *testing.T, addr, path, customer, key, body string) (int, wire.Problem) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(wire.HeaderCustomer, customer)
	if key != "" {
		req.Header.Set(wire.HeaderIdempotencyKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var p wire.Problem
	if resp.StatusCode != http.StatusOK {
		if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
			t.Fatal(err)
		}
	}
	return resp.StatusCode, p
}

// Every kind of invalid request is refused with its reason, reported as not run and
// counted in the metrics. No call of the list is executed.
func TestBadInput(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	site := stage.Start(t, stage.Spec{Entries: 1, Engines: 1, PlainTargets: 1, Config: siteConfig()})
	addr := site.Entries[0].CallersAddr
	status, _ := post(t, addr, wire.PathCalls, "importer", "used", `{"profile":"hold","body":"one"}`)
	is.Equal(status, 200)
	cases := []struct {
		path, customer, key, body string
		reason                    wire.Reason
	}{
		{wire.PathCompletions, "importer", "", `{"profile":`, wire.ReasonBadRequest},
		{wire.PathCompletions, "importer", "", `{"profile":"status","promt":"x"}`, wire.ReasonBadRequest},
		{wire.PathCompletions, "importer", "", `{"profile":"status"} {}`, wire.ReasonBadRequest},
		{wire.PathCompletions, "importer", "", `{"profile":"hold","prompt":"x"}`, wire.ReasonBadRequest},
		{wire.PathCompletions, "importer", "", `{"profile":"nothing","prompt":"x"}`, wire.ReasonUnknownProfile},
		{wire.PathCompletions, "nobody", "", `{"profile":"status","prompt":"x"}`, wire.ReasonUnknownCustomer},
		{wire.PathCompletions, "importer", "", `{"profile":"status","prompt":"x","prompt_tokens":60000}`, wire.ReasonTokenLimit},
		{wire.PathCompletions, "importer", "", `{"profile":"record","prompt":"x","prompt_tokens":1900000}`, wire.ReasonNeverFits},
		{wire.PathCompletions, "importer", "", `{"profile":"status","prompt":"` + strings.Repeat("x", 21<<20) + `"}`, wire.ReasonTooLarge},
		{wire.PathCalls, "importer", "", `{"profile":"hold","body":"one"}`, wire.ReasonMissingKey},
		{wire.PathCalls, "importer", strings.Repeat("k", 300), `{"profile":"hold","body":"one"}`, wire.ReasonBadRequest},
		{wire.PathCalls, "importer", "used", `{"profile":"hold","body":"two"}`, wire.ReasonKeyConflict},
		{wire.PathCalls, "importer", "k", `{"profile":"status","body":"one"}`, wire.ReasonBadRequest},
		{"/v1/nothing", "importer", "", `{}`, wire.ReasonBadRequest},
	}
	for _, c := range cases {
		status, p := post(t, addr, c.path, c.customer, c.key, c.body)
		is.Equal(p.Reason, c.reason)
		is.Equal(status, c.reason.Status())
		is.Equal(p.Ran, wire.RanNo)
		is.True(site.Entries[0].Metric(fmt.Sprintf("pier_refused_total{reason=%q}", c.reason)) > 0)
	}
	is.Equal(len(site.Runs()), 1)
}

// Clients send oversized headers, or announce large bodies and do not send them. Other
// callers are served meanwhile, and the connections are closed.
func TestHostileConnections(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	site := stage.Start(t, stage.Spec{Entries: 1, Engines: 1, Config: siteConfig()})
	addr := site.Entries[0].CallersAddr
	bomb, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer func() { _ = bomb.Close() }()
	_, _ = fmt.Fprintf(bomb, "POST %s HTTP/1.1\r\nHost: x\r\nX-Bomb: %s\r\n\r\n", wire.PathCompletions, strings.Repeat("b", 64<<10))
	_ = bomb.SetReadDeadline(time.Now().Add(2 * time.Second))
	answer, _ := io.ReadAll(bomb)
	is.True(strings.HasPrefix(string(answer), "HTTP/1.1 431"))
	for range 50 {
		slow, err := net.Dial("tcp", addr)
		is.NoErr(err)
		defer func() { _ = slow.Close() }()
		_, _ = fmt.Fprintf(slow, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 20000000\r\n\r\n{", wire.PathCompletions)
	}
	time.Sleep(300 * time.Millisecond)
	ctx := testContext(t, 20*time.Second)
	client := site.PinnedClient(site.Entries[0], "importer")
	client.MaxTries = 1
	o := sendPrompt(ctx, client, "status", "after", 1000, 5)
	is.True(o.complete) // a body takes no memory of the instance before it arrives
	// The connections with unsent bodies end at their timeout, and their memory is freed.
	stage.Eventually(t, 20*time.Second, "requests are served again", func() bool {
		return sendPrompt(ctx, client, "status", "later", 1000, 5).complete
	})
}
