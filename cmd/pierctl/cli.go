package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/pmezard/go-difflib/difflib"

	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/entry"
	"github.com/corianderpier/corianderpier/internal/limit"
	"github.com/corianderpier/corianderpier/internal/store"
	"github.com/corianderpier/corianderpier/internal/strict"
)

const (
	adminTimeout     = 5 * time.Second
	diffContextLines = 2
	maxAnswerBytes   = 16 << 20 // of an instance
)

// adminClient calls the operators' ports of instances.
var adminClient = &http.Client{Transport: &strict.Transport{Base: http.DefaultTransport}}

// cli holds the flags and the output that all commands share.
type cli struct {
	storeURL string
	out      io.Writer
}

// instance is a registered entry instance.
type instance struct {
	Name  string
	Admin string
}

func (c *cli) storeClient() *store.Client { return &store.Client{BaseURL: c.storeURL} }

func (c *cli) printf(format string, args ...any) { _, _ = fmt.Fprintf(c.out, format, args...) }

// readConfig reads a configuration file, checks it and prints every problem.
func (c *cli) readConfig(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &exitError{exitUsage, err.Error()}
	}
	_, problems := config.Parse(data)
	for _, p := range problems {
		c.printf("%s: %s\n", path, p)
	}
	if len(problems) > 0 {
		return nil, &exitError{exitInvalidConfig, fmt.Sprintf("%d problems in %s", len(problems), path)}
	}
	return data, nil
}

// currentConfig reads the stored configuration, whose version is zero if there is none.
func (c *cli) currentConfig(ctx context.Context) (store.Object, error) {
	o, err := c.storeClient().Get(ctx, config.ObjectName)
	if store.Is(err, store.NotFound) {
		return store.Object{}, nil
	}
	return o, err
}

// listInstances returns the registered entry instances.
func (c *cli) listInstances(ctx context.Context) ([]instance, error) {
	objects, err := c.storeClient().List(ctx, entry.RegistrationPrefix)
	if err != nil {
		return nil, err
	}
	var found []instance
	for _, o := range objects {
		var r struct {
			Member struct{ Name string } `json:"member"`
			Admin  string                `json:"admin"`
		}
		if err := json.Unmarshal(o.Value, &r); err != nil {
			return nil, fmt.Errorf("decode registration %s: %w", o.Name, err)
		}
		found = append(found, instance{Name: r.Member.Name, Admin: r.Admin})
	}
	return found, nil
}

func (c *cli) instanceStatus(ctx context.Context, i instance) (entry.Status, error) {
	var status entry.Status
	err := c.callAdmin(ctx, http.MethodGet, i, "/status", nil, &status)
	return status, err
}

// callAdmin sends a request to the operators' port of an instance and decodes the JSON answer, unless into is nil.
func (c *cli) callAdmin(ctx context.Context, method string, i instance, path string, query url.Values, into any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+i.Admin+path+"?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	resp, err := adminClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1024))
		return fmt.Errorf("%s %s of %s: %s: %s", method, path, i.Name, resp.Status, text)
	}
	if into == nil {
		return nil
	}
	data, err := limit.ReadAll(resp.Body, maxAnswerBytes)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}

// unifiedDiff returns the differences between two configurations in unified format.
func unifiedDiff(fromName string, from []byte, toName string, to []byte) string {
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(canonicalJSON(from)), B: difflib.SplitLines(canonicalJSON(to)),
		FromFile: fromName, ToFile: toName, Context: diffContextLines,
	})
	if err != nil {
		return err.Error()
	}
	return text
}

// canonicalJSON formats a configuration such that equal ones give equal text. An invalid one is returned as it is.
func canonicalJSON(data []byte) string {
	c, problems := config.Parse(data)
	if len(problems) > 0 {
		return string(data)
	}
	out, err := c.Encode()
	if err != nil {
		return string(data)
	}
	return string(out) + "\n"
}
