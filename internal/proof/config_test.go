package proof

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/stage"
)

// applyLimit is the promised time until all instances apply a change of configuration.
const applyLimit = 5 * time.Second

// configWithDeadline returns siteConfig with another deadline of the profile status.
func configWithDeadline(deadline clock.Millis) config.Config {
	c := siteConfig()
	p, _ := c.Profile("status")
	p.Deadline = deadline
	return c.WithProfile(p)
}

// waitConfigApplied waits until the instances have applied at least a version.
func waitConfigApplied(t *testing.T, entries []*stage.Process, version uint64) {
	t.Helper()
	start := time.Now()
	stage.Eventually(t, applyLimit, fmt.Sprintf("version %d applied everywhere", version), func() bool {
		for _, e := range entries {
			status, err := e.Status()
			if err != nil || status.ConfigVersion < version {
				return false
			}
		}
		return true
	})
	t.Logf("version %d applied by %d instances after %v", version, len(entries), time.Since(start).Round(time.Millisecond))
}

// An accepted change is applied by all instances in time, also by those that lose the
// object API right before the change: they get it from their peers.
func TestConfigApplied(t *testing.T) {
	t.Parallel()
	proxies := make(map[int]*faultProxy)
	site := stage.Start(t, stage.Spec{
		Entries: 9, Config: siteConfig(),
		StoreAddrFor: func(i int, addr string) string {
			proxies[i] = newFaultProxy(t, addr)
			return proxies[i].addr()
		},
	})
	waitConfigApplied(t, site.Entries, site.PutConfig(configWithDeadline(6*clock.Second)))
	for i := 1; i < 9; i++ {
		proxies[i].cut()
	}
	version := site.PutConfig(configWithDeadline(7 * clock.Second))
	// Only instance 0 still reaches the object API.
	waitConfigApplied(t, site.Entries, version)
}

// An object API that returns older versions of the configuration must not make an
// instance go back to one.
func TestConfigNeverReverts(t *testing.T) {
	t.Parallel()
	site := stage.Start(t, stage.Spec{Entries: 3, Config: siteConfig()})
	site.PutConfig(configWithDeadline(6 * clock.Second))
	version := site.PutConfig(configWithDeadline(7 * clock.Second))
	waitConfigApplied(t, site.Entries, version)
	site.SetFault(site.StoreAddr, storeFault{StaleRead: 1})
	fresh := site.AddEntry() // must take the newer version from its peers
	deadline := time.Now().Add(4 * time.Second)
	for time.Now().Before(deadline) {
		for _, e := range site.Entries[:3] {
			if status, err := e.Status(); err == nil && status.ConfigVersion < version {
				t.Fatalf("%s went back to version %d after %d", e.Name, status.ConfigVersion, version)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	waitConfigApplied(t, []*stage.Process{fresh}, version)
}

// An instance that starts while the object API is down gets the configuration from its
// peers and serves.
func TestStartInOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	site := stage.Start(t, stage.Spec{Entries: 2, Engines: 1, Config: siteConfig()})
	site.SetFault(site.StoreAddr, storeFault{Refuse: true})
	fresh := site.AddEntry("-peers", site.Entries[0].PeerAddr+","+site.Entries[1].PeerAddr)
	stage.Eventually(t, 10*time.Second, "the new instance is ready", func() bool {
		status, err := fresh.Status()
		return err == nil && status.Ready
	})
	is.True(sendPrompt(testContext(t, time.Minute), site.PinnedClient(fresh, "importer"), "status", "fresh", 100, 1).complete)
}

// runPierctl runs pierctl against the site and returns its exit code and output.
func runPierctl(t *testing.T, site *stage.Site, args ...string) (int, string) {
	t.Helper()
	cmd := exec.Command(filepath.Join(stage.Build(t), "pierctl"), append([]string{"-store", "http://" + site.StoreAddr}, args...)...)
	out, _ := cmd.CombinedOutput()
	return cmd.ProcessState.ExitCode(), string(out)
}

// writeConfigFile writes a configuration to a temporary file and returns its path.
func writeConfigFile(t *testing.T, c config.Config) string {
	t.Helper()
	data, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Of operators that apply changes to the same version at the same time, exactly one
// succeeds. The others get the exit code for a conflict and are shown the winner's change.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	site := stage.Start(t, stage.Spec{Entries: 2, Config: siteConfig()})
	base := fmt.Sprint(site.PutConfig(configWithDeadline(6 * clock.Second)))
	var group sync.WaitGroup
	codes := make([]int, 4)
	outputs := make([]string, 4)
	for i := range codes {
		path := writeConfigFile(t, configWithDeadline(clock.Millis(10+i)*clock.Second))
		group.Go(func() { codes[i], outputs[i] = runPierctl(t, site, "apply", "-base", base, path) })
	}
	group.Wait()
	winner := -1
	for i, code := range codes {
		if code == 0 {
			is.Equal(winner, -1)
			winner = i
		} else {
			is.Equal(code, 4)
		}
	}
	is.True(winner >= 0)
	for i, output := range outputs {
		if i != winner {
			is.True(strings.Contains(output, fmt.Sprintf(`"deadline": "%ds"`, 10+winner)))
		}
	}
}

// The object API drops the responses to writes that it has executed. pierctl must find
// out that its change was applied.
func TestApplyWithLostAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	site := stage.Start(t, stage.Spec{Entries: 2, Config: siteConfig()})
	site.SetFault(site.StoreAddr, storeFault{LoseAnswer: 1})
	code, output := runPierctl(t, site, "apply", writeConfigFile(t, configWithDeadline(8*clock.Second)))
	t.Log(output)
	is.Equal(code, 0)
	is.True(strings.Contains(output, "in force on 2 of 2"))
}
