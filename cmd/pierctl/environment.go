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
	"github.com/corianderpier/corianderpier/internal/store"
)

const (
	adminTimeout = 5 * time.Second
	diffContext  = 2 // lines
)

// environment is what all commands share.
type environment struct {
	store string
	out   io.Writer
}

// instance is a registered entry instance.
type instance struct {
	Name  string
	Admin string
}

func (e *environment) client() *store.Client { return &store.Client{BaseURL: e.store} }

func (e *environment) printf(format string, args ...any) { _, _ = fmt.Fprintf(e.out, format, args...) }

// readConfig reads and checks a configuration file and prints every mistake.
func (e *environment) readConfig(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &exitError{exitUsage, err.Error()}
	}
	_, problems := config.Parse(data)
	for _, p := range problems {
		e.printf("%s: %s\n", path, p)
	}
	if len(problems) > 0 {
		return nil, &exitError{exitMistakes, fmt.Sprintf("%d mistakes in %s", len(problems), path)}
	}
	return data, nil
}

// current reads the configuration in the object API; its version is zero if there is none.
func (e *environment) current(ctx context.Context) (store.Object, error) {
	o, err := e.client().Get(ctx, config.ObjectName)
	if store.Is(err, store.NotFound) {
		return store.Object{}, nil
	}
	return o, err
}

func (e *environment) instances(ctx context.Context) ([]instance, error) {
	objects, err := e.client().List(ctx, entry.RegistrationPrefix)
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
			return nil, fmt.Errorf("%s: %w", o.Name, err)
		}
		found = append(found, instance{Name: r.Member.Name, Admin: r.Admin})
	}
	return found, nil
}

func (e *environment) status(ctx context.Context, i instance) (entry.Status, error) {
	var status entry.Status
	err := e.ask(ctx, http.MethodGet, i, "/status", nil, &status)
	return status, err
}

func (e *environment) ask(ctx context.Context, method string, i instance, path string, query url.Values, into any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+i.Admin+path+"?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1024))
		return fmt.Errorf("%s: %s", resp.Status, text)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// difference formats what changed from one configuration to another.
func difference(fromName string, from []byte, toName string, to []byte) string {
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(canonical(from)), B: difflib.SplitLines(canonical(to)),
		FromFile: fromName, ToFile: toName, Context: diffContext,
	})
	if err != nil {
		return err.Error()
	}
	return text
}

// canonical formats a configuration so that only its content counts.
func canonical(data []byte) string {
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
