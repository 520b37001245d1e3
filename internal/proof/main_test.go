package proof

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/stage"
)

func TestMain(m *testing.M) {
	code := m.Run()
	stage.Cleanup()
	os.Exit(code)
}

// siteConfig returns the configuration that most tests start from.
func siteConfig() config.Config {
	return config.Config{
		Services: []config.Service{
			{Name: "models", Kind: config.Engine, SlotsPerTarget: 64, LongPromptTokens: 50_000, LongMemoryPercent: 70, MemoryTokens: 400_000},
			{Name: "desk", Kind: config.Plain, SlotsPerTarget: 64},
		},
		Customers: []config.Customer{{Name: "importer", Weight: 1}, {Name: "roaster", Weight: 1}},
		Profiles: []config.Profile{
			{Name: "status", Service: "models", Model: "small", Deadline: 5 * clock.Second, Priority: 5, MaxPromptTokens: 50_000, MaxOutputTokens: 200, Idempotent: true},
			{Name: "record", Service: "models", Model: "small", Deadline: clock.Minute, Priority: 1, MaxPromptTokens: 2_000_000, MaxOutputTokens: 500, Idempotent: true},
			{Name: "lookup", Service: "desk", Deadline: 5 * clock.Second, Idempotent: true},
			{Name: "hold", Service: "desk", Deadline: 5 * clock.Second},
		},
		Operations: config.Operations{ShardCount: 8, WritesPerSecond: 300, Retention: clock.Hour},
	}
}

// testContext returns a context that ends after the limit or with the test.
func testContext(t *testing.T, limit time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	t.Cleanup(cancel)
	return ctx
}
