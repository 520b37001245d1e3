package stage

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/corianderpier/corianderpier/internal/engine"
	"github.com/corianderpier/corianderpier/internal/fake"
	"github.com/corianderpier/corianderpier/internal/roster"
)

// addTargets starts n targets of a kind and adds them to Targets.
func (s *Site) addTargets(n int, service, kind string, args []string) {
	s.t.Helper()
	if n == 0 {
		return
	}
	addrs := s.startTargets(n, kind, args)
	for i, addr := range addrs {
		id := fmt.Sprintf("%s-%d", kind, i)
		listed := addr
		if s.Spec.TargetAddrFor != nil {
			listed = s.Spec.TargetAddrFor(id, addr)
		}
		zone := "zone-a"
		if len(s.Spec.Zones) > 0 {
			zone = s.Spec.Zones[i%len(s.Spec.Zones)]
		}
		s.targetAddrs[id] = addr
		models := modelsOf(s.Spec.Config, service)
		s.Targets = append(s.Targets, roster.Target{ID: id, Service: service, Addr: listed, Zone: zone, State: roster.Live, Models: models})
	}
}

// startTargets starts the targets of one kind, in one process or in one each, and
// returns their addresses.
func (s *Site) startTargets(n int, kind string, args []string) []string {
	s.t.Helper()
	if !s.Spec.ProcessPerTarget {
		listenAddrs := strings.TrimSuffix(strings.Repeat("127.0.0.1:0,", n), ",")
		return strings.Split(s.startProcess(kind, "pierfake", append([]string{kind, "-listen", listenAddrs}, args...)...).firstLine(s.t), ",")
	}
	var addrs []string
	for i := range n {
		name := fmt.Sprintf("%s-%d", kind, i)
		s.targetProcesses[name] = s.startProcess(name, "pierfake", append([]string{kind, "-listen", "127.0.0.1:0"}, args...)...)
	}
	for i := range n {
		addrs = append(addrs, s.targetProcesses[fmt.Sprintf("%s-%d", kind, i)].firstLine(s.t))
	}
	return addrs
}

// KillTarget kills the process of a target. It needs Spec.ProcessPerTarget.
func (s *Site) KillTarget(id string) { s.targetProcesses[id].Kill() }

// DirectAddr returns the address on which a target listens, without any proxy.
func (s *Site) DirectAddr(t roster.Target) string { return s.targetAddrs[t.ID] }

// SetFault replaces the faults that the fake at the address injects.
func (s *Site) SetFault(addr string, fault any) {
	s.t.Helper()
	data, err := json.Marshal(fault)
	if err != nil {
		s.t.Fatal(err)
	}
	resp, err := http.Post("http://"+addr+"/admin/fault", "application/json", bytes.NewReader(data))
	if err != nil {
		s.t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// Runs returns the executions of all plain services.
func (s *Site) Runs() []fake.Run {
	s.t.Helper()
	var all []fake.Run
	for _, addr := range s.directAddrs("plain") {
		var runs []fake.Run
		s.get("http://"+addr+"/admin/runs", &runs)
		all = append(all, runs...)
	}
	return all
}

// Holdings returns the memory that all engines have allocated to owners.
func (s *Site) Holdings() []engine.Holding {
	s.t.Helper()
	var all []engine.Holding
	for _, addr := range s.directAddrs("engine") {
		var held []engine.Holding
		s.get("http://"+addr+engine.PathHoldings, &held)
		all = append(all, held...)
	}
	return all
}

// directAddrs returns the addresses on which the targets of a kind listen, without any proxy.
func (s *Site) directAddrs(kind string) []string {
	var addrs []string
	for _, t := range s.Targets {
		if strings.HasPrefix(t.ID, kind) {
			addrs = append(addrs, s.DirectAddr(t))
		}
	}
	return addrs
}
