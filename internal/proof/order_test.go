package proof

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/engine"
	"github.com/corianderpier/corianderpier/internal/order"
	"github.com/corianderpier/corianderpier/internal/stage"
)

// configWithVersion returns siteConfig with orders that all engines run a version.
func configWithVersion(version string, engines int, fenced bool) config.Config {
	c := siteConfig()
	c.Services[0].Fenced = fenced
	c.Services[0].Models = []config.Model{{Name: "small", Version: version, EngineCount: engines}}
	return c
}

// engineState reads the state of an engine.
func engineState(t *testing.T, addr string) engine.State {
	t.Helper()
	resp, err := http.Get("http://" + addr + engine.PathState)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var state engine.State
	if err := json.NewDecoder(resp.Body).Decode(&state); err != nil {
		t.Fatal(err)
	}
	return state
}

// allEnginesRun reports whether all engines have loaded a version.
func allEnginesRun(t *testing.T, site *stage.Site, version string) bool {
	t.Helper()
	for _, target := range site.Targets {
		if state := engineState(t, site.DirectAddr(target)); state.Version != version || state.Loading {
			return false
		}
	}
	return true
}

// The instance that sends orders is frozen, the configuration changes, another instance
// takes over, and the first is resumed and may send outdated orders. No engine stays in
// a state other than the configured one, whether it checks fencing numbers or not.
func TestOrdersAfterTakeover(t *testing.T) {
	t.Parallel()
	for name, fenced := range map[string]bool{"fenced": true, "unfenced": false} {
		t.Run(name, func(t *testing.T) {
			args := []string{"-loading", "100ms"}
			if fenced {
				args = append(args, "-fenced")
			}
			site := stage.Start(t, stage.Spec{Entries: 3, Engines: 3, EngineArgs: args, Config: configWithVersion("v1", 3, fenced)})
			limit := order.ConvergenceLimit.Duration()
			stage.Eventually(t, limit, "all engines run v1", func() bool { return allEnginesRun(t, site, "v1") })
			site.PutConfig(configWithVersion("v2", 3, fenced))
			time.Sleep(300 * time.Millisecond) // while the orders are being sent
			issuer := orderIssuer(t, site)
			issuer.Freeze()
			site.PutConfig(configWithVersion("v3", 3, fenced))
			stage.Eventually(t, detectLimit+limit, "all engines run v3", func() bool { return allEnginesRun(t, site, "v3") })
			issuer.Resume()
			deviatedSince := time.Time{}
			for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				switch {
				case allEnginesRun(t, site, "v3"):
					deviatedSince = time.Time{}
				case deviatedSince.IsZero():
					deviatedSince = time.Now()
				case time.Since(deviatedSince) > limit:
					t.Fatal("an engine stays in a state other than the configured one")
				}
			}
			stage.Eventually(t, limit, "all engines run v3 at the end", func() bool { return allEnginesRun(t, site, "v3") })
		})
	}
}

// orderIssuer returns the instance that has sent the most orders.
func orderIssuer(t *testing.T, site *stage.Site) *stage.Process {
	t.Helper()
	var issuer *stage.Process
	most := 0.0
	for _, e := range site.Entries {
		if sent := e.Metric(`pier_order_events_total{event="sent"}`); sent > most {
			issuer, most = e, sent
		}
	}
	if issuer == nil {
		t.Fatal("no instance has sent an order")
	}
	return issuer
}
