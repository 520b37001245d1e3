package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	watchMachines  = 18                     // of which the store may turn away a share of 0.35
	turnedAway     = 6                      // a third of them
	turnAwayTime   = 9 * time.Second        // the longest for which the site file has some machines turned away
	changeAfter    = 200 * time.Millisecond // from the beginning of that to the change of the configuration
	applyTime      = 2 * time.Second        // apply_ms
	stretchTime    = 5 * time.Second        // stretch_ms, by which an unstable store stretches it at most
	settleTime     = 24 * time.Second       // for which nothing happens before
	watchTime      = 16 * time.Second       // longer than a watch of the system lasts
	lateRequestGap = 700 * time.Millisecond // between two rounds of requests to a machine

	withdrawnKey = "anfqasnmgkcuyj8pjbvk" // of the same tenant, until the change takes it away
)

// watchCase has the store turn away a third of the machines, those that watch the configuration, while it serves all others. Meanwhile the
// operator moves a route to another service, takes a key away and adds a route. The machines that the store serves are asked for all three.
func watchCase(rec *recorder, trouble bool) {
	s := newSite(rec, watchMachines)
	defer s.close()
	s.keys = []string{apiKey, withdrawnKey}
	s.services = []map[string]any{plainService("desk-app"), plainService("desk-new")}
	s.routes = []map[string]any{deskRoute("lodge-action", "/lots/", "unsafe", 1)}
	s.publish()
	for n := range 3 {
		newWorker(s, fmt.Sprintf("i-desk%d", n+1), "desk-app", 6)
		newWorker(s, fmt.Sprintf("i-new%d", n+1), "desk-new", 6)
	}
	if !s.startAll() {
		fatal(fmt.Errorf("the instances are not ready"))
	}
	time.Sleep(settleTime)
	watchers := s.store.watchersOf("config", watchTime)
	rec.log("machines that watch the configuration: %v", watchers)
	if len(watchers) > turnedAway {
		watchers = watchers[:turnedAway]
	}
	served := slices.DeleteFunc(slices.Clone(s.instances), func(i *instance) bool { return slices.Contains(watchers, i.ip) })
	began := time.Now()
	if trouble {
		s.store.turnAway(watchers)
		rec.log("the store turns away %d of %d machines", len(watchers), len(s.instances))
	}
	time.Sleep(changeAfter)
	acknowledged := changeConfig(s)
	askUntil(s, served, acknowledged, began.Add(turnAwayTime))
	s.store.turnAway(nil)
	rec.log("the store serves all machines")
	time.Sleep(3 * time.Second)
	askUntil(s, served, acknowledged, time.Now().Add(time.Second))
}

// changeConfig writes the next version of the configuration and returns when the store has acknowledged it.
func changeConfig(s *site) time.Time {
	s.keys = []string{apiKey}
	moved := deskRoute("lodge-action", "/lots/", "unsafe", 1)
	moved["service"] = "desk-new"
	s.routes = []map[string]any{moved, deskRoute("permits", "/permits/", "safe", 2)}
	s.publish()
	s.rec.log("it moves /lots/ to desk-new, takes a key away and adds the route /permits/")
	return time.Now()
}

// askUntil sends rounds of requests to some machines, each of them the same, until a point in time.
func askUntil(s *site, machines []*instance, acknowledged, until time.Time) {
	var group sync.WaitGroup
	for _, i := range machines {
		group.Go(func() {
			for time.Now().Before(until) {
				askOnce(s, i, acknowledged)
				time.Sleep(lateRequestGap)
			}
		})
	}
	group.Wait()
}

// askOnce sends a booking, a booking with the key that was taken away, and a request on the route that was added. The rule is broken if
// they are handled as only the older version allows.
func askOnce(s *site, i *instance, acknowledged time.Time) {
	id := fmt.Sprintf("%s-%d", i.ip, time.Now().UnixMilli())
	check := func(what string, late time.Duration, old bool) {
		switch {
		case !old || late < applyTime:
		case late < applyTime+stretchTime:
			s.rec.log("%s: as the older version has it, %.1f s after the acknowledgement: %s", i.name, late.Seconds(), what)
		default:
			s.rec.broken("CONFIG: %s, %.1f s after the acknowledgement: %s", i.name, late.Seconds(), what)
		}
	}
	late := time.Since(acknowledged)
	a := send(s.rec, i.addr("callers"), "POST", "/lots/hob-1", "lot-"+id, nil, "20 bags", bookingTime)
	check("a booking was run by the service from which the route was moved", late, a.status == http.StatusOK && strings.HasPrefix(a.body, "done by i-desk"))
	late = time.Since(acknowledged)
	a = send(s.rec, i.addr("callers"), "POST", "/lots/hob-2", "key-"+id, map[string]string{"Authorization": "Token " + withdrawnKey}, "20 bags", bookingTime)
	check("a booking was run with the key that was taken away", late, a.status == http.StatusOK)
	late = time.Since(acknowledged)
	a = send(s.rec, i.addr("callers"), "GET", "/permits/1", "new-"+id, nil, "", bookingTime)
	check("a request on the route that was added was refused with 404", late, a.status == http.StatusNotFound)
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false}
}
