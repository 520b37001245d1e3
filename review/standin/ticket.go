package main

import (
	"fmt"
	"time"
)

const (
	calmRounds   = 2                      // without trouble
	rounds       = 14                     // at most, in each of which the machine loses power once
	powerOffTime = 900 * time.Millisecond // as the closing faults of the site file name it
	overlapTime  = 700 * time.Millisecond // in which both prompts are read, if the second one is
	expiryTime   = 3500 * time.Millisecond
)

// ticketCase has a machine lose power while a prompt that is larger than one worker's memory is read by two workers. The machine is
// soon back, and gets such a prompt again. Which worker comes first in a prompt is up to the system: only if it is the same one again are
// the ids of the tickets the same, so that there are several rounds.
func ticketCase(rec *recorder, trouble bool) {
	s := newSite(rec, 3)
	defer s.close()
	s.services = []map[string]any{{"name": "brew-models", "health_path": "/health", "max_conns": 274, "protocol": "h1", "tls": false, "engine": engineModel(200_000)}}
	s.routes = []map[string]any{{
		"name": "season-review", "hostname": hostname, "path_prefix": "/season/", "route_type": "streaming", "timeout_ms": 15000, "slo_ms": 3000,
		"priority": 1, "service": "brew-models", "max_attempts": 2, "allow_anonymous": false, "session_affinity": true, "resumable": true, "gap_aim_ms": 1000,
	}}
	s.publish()
	all := &engines{byAddr: make(map[string]*engine)}
	workers := []*engine{newEngine(s, all, "i-one", "brew-models", 200_000, 16), newEngine(s, all, "i-two", "brew-models", 200_000, 16)}
	if !s.startAll() {
		fatal(fmt.Errorf("the instances are not ready"))
	}
	time.Sleep(2 * time.Second)
	if !trouble {
		calmPrompts(s)
		return
	}
	for round := 1; round <= rounds && rec.brokenCount() == 0; round++ {
		rec.log("round %d", round)
		powerLoss(s, workers, round)
	}
}

// calmPrompts sends the prompts of some rounds without the loss of power.
func calmPrompts(s *site) {
	for round := range calmRounds {
		for _, which := range []string{"first", "second"} {
			a := sendPrompt(s, s.instances[0], fmt.Sprintf("r%d-%s", round+1, which))
			if a.status != 200 || !a.complete {
				fatal(fmt.Errorf("a prompt was not served: status %d", a.status))
			}
		}
	}
}

// powerLoss plays one round.
func powerLoss(s *site, workers []*engine, round int) {
	machine := s.instances[0]
	first, second := fmt.Sprintf("r%d-first", round), fmt.Sprintf("r%d-second", round)
	go sendPrompt(s, machine, first)
	awaitUse(workers, first)
	time.Sleep(150 * time.Millisecond)
	s.rec.log("%s loses power", machine.name)
	for _, w := range workers {
		w.proxy.powerOff()
	}
	machine.kill()
	time.Sleep(powerOffTime)
	s.rec.log("%s has power again", machine.name)
	for _, w := range workers {
		w.proxy.powerOn()
	}
	machine.start(false)
	if !machine.awaitReady(10 * time.Second) {
		fatal(fmt.Errorf("the instance is not ready again"))
	}
	go sendPrompt(s, machine, second)
	time.Sleep(overlapTime)
	if s.rec.brokenCount() > 0 {
		return
	}
	machine.kill() // a new process, so that the next round begins like this one
	time.Sleep(expiryTime)
	machine.start(false)
	if !machine.awaitReady(10 * time.Second) {
		fatal(fmt.Errorf("the instance is not ready again"))
	}
}

// sendPrompt sends a prompt that is larger than the memory of one worker.
func sendPrompt(s *site, machine *instance, id string) answer {
	headers := map[string]string{"X-Model": "m", "X-Token-Count": "300000,600", "X-Prompt-Prefix": "5c1e07a2:40," + fmt.Sprintf("%x", id) + ":299960"}
	return send(s.rec, machine.addr("callers"), "POST", "/season/2f", id, headers, "season", 15*time.Second)
}

// awaitUse waits until a request uses a ticket.
func awaitUse(workers []*engine, request string) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, w := range workers {
			w.mu.Lock()
			for _, t := range w.tickets {
				if t.users[request] != nil {
					w.mu.Unlock()
					return
				}
			}
			w.mu.Unlock()
		}
	}
	fatal(fmt.Errorf("request %s uses no ticket", request))
}

// engineModel returns what the configuration says of an engine with some memory.
func engineModel(memory int) map[string]any {
	return map[string]any{
		"slots": 16, "kv_capacity": memory, "kv_token_bytes": 163840, "link_mbps": 400000.0, "stride": 34, "models": []any{map[string]any{"name": "m"}},
		"step_ms": 1.31, "per_seq_ms": 0.000917, "context_per_k": 0.00213, "read_per_s": 154000.0, "pairs_per_m": 0.162, "chunk": 2048,
		"report_lag_ms": 200.0, "loads_per_s": 0.0, "loads_at_once": 8, "delays": []any{}, "usual": map[string]any{"prompt": 300000, "answer": 600}, "hop_ms": 0.1,
	}
}
