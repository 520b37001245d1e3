package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/fake"
	"github.com/corianderpier/corianderpier/internal/roster"
	"github.com/corianderpier/corianderpier/internal/store"
	"github.com/corianderpier/corianderpier/pkg/pier"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

// promptTimeout bounds the time that an example prompt may take.
const promptTimeout = 25 * time.Second

// Site is the content of a site file: the targets and example requests of a site.
type Site struct {
	Zones        []string       `json:"zones"`
	TargetCounts map[string]int `json:"workers"` // by service
	Customer     string         `json:"customer"`
	Prompts      []Prompt       `json:"prompts"`
	Calls        []Call         `json:"calls"`
}

// Prompt is an example request for a completion.
type Prompt struct {
	Profile         string `json:"profile"`
	PromptTokens    int    `json:"tokens"`
	MaxOutputTokens int    `json:"output"`
}

// Call is an example call of a plain service.
type Call struct {
	Profile   string `json:"profile"`
	Key       string `json:"key"`
	Body      string `json:"body"`
	SendTwice bool   `json:"twice"` // send it through two instances at the same time
}

// ReadSite reads and decodes a site file.
func ReadSite(path string) (Site, error) {
	var s Site
	data, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	err = json.Unmarshal(data, &s)
	return s, err
}

// Publish writes the configuration and the instance list to an object API; addrs
// holds the addresses of the targets by service.
func Publish(ctx context.Context, base string, c config.Config, site Site, addrs map[string][]string) error {
	data, err := c.Encode()
	if err != nil {
		return err
	}
	client := &store.Client{BaseURL: base}
	if err := replaceObject(ctx, client, config.ObjectName, data); err != nil {
		return err
	}
	var list roster.Roster
	for service, all := range addrs {
		for i, addr := range all {
			list.Targets = append(list.Targets, roster.Target{
				ID: fmt.Sprintf("%s-%d", service, i), Service: service, Addr: addr,
				Zone: site.Zones[i%len(site.Zones)], State: roster.Live,
			})
		}
	}
	if data, err = list.Encode(); err != nil {
		return err
	}
	return replaceObject(ctx, client, roster.ObjectName, data)
}

// replaceObject replaces an object, whatever its version.
func replaceObject(ctx context.Context, client *store.Client, name string, data []byte) error {
	old, err := client.Get(ctx, name)
	if err != nil && !store.Is(err, store.NotFound) {
		return err
	}
	_, err = client.Put(ctx, name, old.Version, data)
	return err
}

// tableRow is the result of one request.
type tableRow struct {
	request, profile, entry, target, outcome, ran string
	tokens                                        int
	latency                                       time.Duration // time to the first token of a prompt, or to the answer of a call
	failed                                        bool
}

// Run sends the example requests and prints a table of the results. It returns an
// error unless every answer was complete and correct and every call with a key was
// executed once.
func Run(ctx context.Context, out io.Writer, site Site, seeds, plains []string) error {
	client := &pier.Client{Seeds: seeds, Customer: site.Customer, Zone: site.Zones[0]}
	var mu sync.Mutex
	var rows []tableRow
	var group sync.WaitGroup
	addRow := func(r tableRow) {
		mu.Lock()
		defer mu.Unlock()
		rows = append(rows, r)
	}
	for _, p := range site.Prompts {
		group.Go(func() { addRow(sendPrompt(ctx, client, p)) })
	}
	for _, c := range site.Calls {
		times := 1
		if c.SendTwice {
			times = 2
		}
		for i := range times {
			entryAddr := seeds[i%len(seeds)]
			group.Go(func() { addRow(sendCall(ctx, site.Customer, entryAddr, c)) })
		}
	}
	group.Wait()
	failed := printTable(out, rows)
	for _, c := range site.Calls {
		runs, err := countRuns(plains, c.Key)
		if err != nil {
			return err
		}
		if c.Key != "" && runs != 1 {
			failed++
			_, _ = fmt.Fprintf(out, "%s was executed %d times\n", c.Key, runs)
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d requests failed", failed)
	}
	return nil
}

// sendPrompt sends an example prompt and checks the completion.
func sendPrompt(ctx context.Context, client *pier.Client, p Prompt) tableRow {
	ctx, cancel := context.WithTimeout(ctx, promptTimeout)
	defer cancel()
	text := strings.Repeat(p.Profile[:4], p.PromptTokens)
	answer, err := client.Complete(ctx, wire.Completion{Profile: p.Profile, Prompt: text, MaxTokens: p.MaxOutputTokens})
	r := tableRow{
		request: answer.Request, profile: p.Profile, tokens: p.PromptTokens, entry: answer.Entry, target: answer.Target,
		latency: answer.TimeToFirstToken, outcome: "complete", ran: string(wire.RanYes),
	}
	switch {
	case err != nil:
		r.outcome, r.ran, r.failed = err.Error(), "", true
	case answer.Text != fake.CompletionText(text, p.MaxOutputTokens):
		r.outcome, r.failed = "wrong answer", true
	}
	return r
}

// sendCall sends an example call through one instance and checks the answer.
func sendCall(ctx context.Context, customer, entryAddr string, c Call) tableRow {
	client := &pier.Client{Seeds: []string{entryAddr}, Customer: customer, SeedsOnly: true}
	start := time.Now()
	result, err := client.Call(ctx, wire.Call{Profile: c.Profile, Body: c.Body}, c.Key)
	r := tableRow{
		request: result.Request, profile: c.Profile, entry: entryAddr, target: result.Target,
		latency: time.Since(start), outcome: "complete", ran: string(result.Ran),
	}
	if result.Joined {
		r.outcome = "complete, joined"
	}
	switch {
	case err != nil:
		r.outcome, r.failed = err.Error(), true
	case result.Body != fake.Receipt(c.Key, c.Body):
		r.outcome, r.failed = "wrong answer", true
	}
	return r
}

// printTable prints the results and returns how many requests failed.
func printTable(out io.Writer, rows []tableRow) int {
	failed := 0
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "REQUEST\tPROFILE\tTOKENS\tENTRY\tTARGET\tFIRST TOKEN\tOUTCOME\tRAN")
	for _, r := range rows {
		if r.failed {
			failed++
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%v\t%s\t%s\n", r.request, r.profile, r.tokens, r.entry, r.target,
			r.latency.Round(time.Millisecond), r.outcome, r.ran)
	}
	_ = table.Flush()
	return failed
}

// countRuns returns how often the plain services executed a call with the key.
func countRuns(plains []string, key string) (int, error) {
	n := 0
	for _, addr := range plains {
		resp, err := http.Get("http://" + addr + "/admin/runs")
		if err != nil {
			return 0, err
		}
		var runs []fake.Run
		err = json.NewDecoder(resp.Body).Decode(&runs)
		_ = resp.Body.Close()
		if err != nil {
			return 0, err
		}
		for _, r := range runs {
			if r.Key == key {
				n++
			}
		}
	}
	return n, nil
}
