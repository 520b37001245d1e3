package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"
)

func init() { cases["cold"] = cold }

const (
	coldRounds     = 3                      // at most
	coldPerZone    = 20                     // engines, as the sheet has it
	coldHistoryGap = 600 * time.Millisecond // between long prompts, to each instance in turn
	coldClients    = 12                     // with short prompts, at each instance
	coldDown       = 4500 * time.Millisecond
	coldNoLong     = 700 * time.Millisecond // after the return, in which no long prompt happens to come
	coldStartMS    = 3000
	expiry         = 3600 * time.Millisecond // three heartbeats without a word, after which the store removes an entry
	coldLostMost   = 3
	coldSpareTime  = 8 * time.Second // after the return
)

// cold: the engines of all zones are down for a while and come back together, cold. Short prompts and long ones go on all the while.
func cold(s *site) int {
	s.memoryMB = 536
	s.cold, s.settings = map[string]any{"excess": 1.5, "slack": 5}, map[string]any{"evacuate": "5000ms", "shares": true}
	s.engine = map[string]any{"name": "engine", "cold_start_s": 3.0, "cold_per_s": 26.0, "engine": map[string]any{
		"slots": 12, "kv_capacity": 267750, "stride": 57, "step_ms": 0.85, "per_seq_ms": 0.00425, "context_per_k": 0.00285,
		"read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048, "hop_ms": 0.05, "report_lag_ms": 200,
	}}
	var engines []*worker
	for n := range 3 * coldPerZone {
		w := startWorker(fmt.Sprintf("eng-%d", n), "engine", true)
		w.zone, w.slots, w.Events, w.Pause = fmt.Sprintf("zone-%c", 'a'+n/coldPerZone), 12, 20, 40*time.Millisecond
		engines = append(engines, w)
		s.store.put("servers", w.id, w.entry("ready"))
	}
	long := route("/history/", "streaming", "engine", 10000)
	long["slo_ms"] = 1500
	s.writeConfig(3, nil, route("/log/", "streaming", "engine", 10000), long)
	s.startInstances(3)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	users := make([]crowd, len(s.instances))
	for n, i := range s.instances {
		users[n].pause = 100 * time.Millisecond // some clients do not wait as instructed
		go users[n].run(ctx, i.callers, coldClients, func(k int64) string {
			return text("POST", "/log/x", fmt.Sprintf("u%d-%d", n, k), 10000, "prompt", "X-Token-Count: 4960,1140", "X-Prompt-Prefix: aa:40,bb:4920", "X-Model: m")
		})
	}
	go func() {
		for k := 0; ctx.Err() == nil; k++ {
			for s.noLong.Load() {
				time.Sleep(time.Millisecond)
			}
			id := fmt.Sprintf("h%d", k)
			go func() {
				a := exchange(ctx, s.instances[k%3].callers, "POST", text("POST", "/history/x", id, 10000, "prompt", "X-Token-Count: 45000,1140", "X-Prompt-Prefix: aa:40,cc:44960", "X-Model: m"))
				s.note("history read %s to %s: %d, %v", id, s.instances[k%3].name, a.Status, a.Err)
			}()
			time.Sleep(coldHistoryGap)
		}
	}()
	for range coldRounds {
		time.Sleep(4 * time.Second)
		switch os.Getenv("TROUBLE") {
		case "0":
		case "2": // two zones only
			s.zonesReturnCold(engines[:2*coldPerZone])
		default:
			s.zonesReturnCold(engines)
		}
		time.Sleep(coldSpareTime)
		if code := s.judgeCold(users, engines); code != 0 {
			return code
		}
		for _, i := range s.instances {
			if !i.alive() {
				i.start(s.root) // as the platform does
			}
		}
	}
	return 0
}

// zonesReturnCold takes the engines of all zones down and lets them come back together.
func (s *site) zonesReturnCold(engines []*worker) {
	s.noLong.Store(true)
	time.AfterFunc(coldDown+coldNoLong, func() { s.noLong.Store(false) })
	s.note("%d of %d engines go down, by zones", len(engines), 3*coldPerZone)
	for _, w := range engines {
		w.crash()
	}
	time.Sleep(expiry)
	for _, w := range engines {
		s.store.remove("servers", w.id)
	}
	time.Sleep(coldDown - expiry)
	for _, w := range engines {
		w.restart()
		w.coldMS = coldStartMS
		s.store.put("servers", w.id, w.entry("ready"))
	}
	s.note("they are back, cold for %d ms", coldStartMS)
	go func() {
		time.Sleep(coldStartMS * time.Millisecond)
		for _, w := range engines {
			w.coldMS = 0
			s.store.put("servers", w.id, w.entry("ready"))
		}
	}()
}

// judgeCold counts, by instance, the requests on kept connections that an engine has run since its return, and whose connections ended
// without an answer.
func (s *site) judgeCold(users []crowd, engines []*worker) int {
	lost := make([]int, len(users))
	for _, w := range engines {
		for _, r := range w.allRuns() {
			for n := range users {
				why, ok := users[n].keptLost.Load(r.ID)
				if !ok || r.At.UnixMilli() <= w.born || strings.Contains(why.(string), "use of closed network connection") { // the users' own end
					continue
				}
				lost[n]++
				s.note("%s was sent to %s on a kept connection and run by %s, which is sound; the connection ended without an answer: %v",
					r.ID, s.instances[n].name, w.id, why)
			}
		}
	}
	code := 0
	for n, i := range s.instances {
		s.note("%s: %d such requests; its users got %d answers before; the process is alive: %t", i.name, lost[n], users[n].answers.Load(), i.alive())
		if lost[n] > coldLostMost {
			code = 1
		}
		s.notePanic(i)
	}
	return code
}

// notePanic notes where an instance has ended by itself, from what it wrote at its end.
func (s *site) notePanic(i *instance) {
	before, stack, found := strings.Cut(i.logText(), "\npanic: ")
	if !found {
		return
	}
	last := before[strings.LastIndex(before, "\n")+1:]
	if at, err := time.Parse(`{"time":"`+time.RFC3339Nano+`"`, last[:strings.Index(last, ",")]); err == nil {
		s.note("last line of the log of %s before it ended: at %.3f s", i.name, at.Sub(s.began).Seconds())
	}
	for k, line := range strings.Split(stack, "\n") {
		if k < 14 && !strings.HasPrefix(line, "\t") && line != "" {
			s.note("panic: %s", line)
		}
	}
}
