package board

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// evacuation is what this instance knows of one evacuated zone.
type evacuation struct {
	since      clock.Millis // when this instance learned of it
	doubtUntil clock.Millis // until then it may still be in force, although the list, which comes from an older copy, lacks it; zero if it is listed
	compared   bool         // with the zones of listed targets, see countUnknownZones
}

// inForce reports whether the zone's targets take no new requests.
func (e *evacuation) inForce() bool { return e != nil && e.doubtUntil == 0 }

// inDoubt reports whether the zone's targets are used only if there are no others. A doubt that is over lasts until endDoubtfulEvacuations,
// which makes the targets count as cold.
func (e *evacuation) inDoubt() bool { return e != nil && e.doubtUntil > 0 }

// EvacuatedZone is the state of one evacuated zone, for operators.
type EvacuatedZone struct {
	Zone     string
	Age      clock.Millis // since this instance learned of the evacuation
	InDoubt  bool         // the list lacks it, but may come from an older copy
	Requests int          // that run at the zone's targets, as far as this instance knows
}

// ReplaceEvacuated replaces the list of evacuated zones. Zones missing from it are in doubt while entries of what has left are not
// believed either; a later list that lacks them as well does not change that. Otherwise their evacuation ends.
func (b *Board) ReplaceEvacuated(zones []string, trust ListTrust) {
	b.Loop.Post(func() {
		now := clock.Now()
		listed := make(map[string]bool, len(zones))
		for _, zone := range zones {
			listed[zone] = true
			b.evacuate(now, zone)
		}
		for zone, e := range b.evacuations {
			switch {
			case listed[zone]:
			case now < trust.DoubtUntil:
				e.doubtUntil = max(e.doubtUntil, trust.DoubtUntil) // the store may come back from a copy once more
				slog.Info("zone evacuation in doubt, missing from an older copy", "zone", zone, "doubt_ms", int64(e.doubtUntil-now))
			case e.inForce():
				b.endEvacuation(now, zone)
			}
		}
		b.countUnknownZones()
	})
}

// evacuate applies an entry of the list of evacuated zones.
func (b *Board) evacuate(now clock.Millis, zone string) {
	if e := b.evacuations[zone]; e != nil {
		if e.inDoubt() {
			slog.Info("zone evacuation no longer in doubt, listed again", "zone", zone, "requests", runningOn(b.targetsIn(zone)))
		}
		e.doubtUntil = 0
		return
	}
	e := &evacuation{since: now}
	b.evacuations[zone] = e
	b.anyEvacuated.Store(true)
	targets := b.targetsIn(zone)
	for _, s := range targets {
		s.evacuation = e
	}
	metrics.GetOrCreateCounter(`pier_board_zone_evacuated_total`).Inc()
	slog.Info("zone evacuated", "zone", zone, "targets", len(targets), "requests", runningOn(targets))
}

// countUnknownZones counts each evacuated zone once that has no target when targets are listed. An instance that starts may get the list of
// zones first, and hear of targets from others before it knows their zones.
func (b *Board) countUnknownZones() {
	listed := func(s *targetState) bool { return !s.delisted }
	if len(b.evacuations) == 0 || !slices.ContainsFunc(slices.Collect(maps.Values(b.targets)), listed) {
		return
	}
	for zone, e := range b.evacuations {
		if !e.compared && len(b.targetsIn(zone)) == 0 {
			metrics.GetOrCreateCounter(`pier_board_zone_unknown_total`).Inc()
			slog.Info("evacuated zone has no targets", "zone", zone)
		}
		e.compared = true
	}
}

// endEvacuation lets the targets of a zone take requests again. They have had none for a while, so that they count as cold.
func (b *Board) endEvacuation(now clock.Millis, zone string) {
	lasted := now - b.evacuations[zone].since
	delete(b.evacuations, zone)
	b.anyEvacuated.Store(len(b.evacuations) > 0)
	targets := b.targetsIn(zone)
	for _, s := range targets {
		s.evacuation = nil
		b.noteCold(now, s, b.coldTime(s.Service))
	}
	slog.Info("zone evacuation ended", "zone", zone, "targets", len(targets), "requests", runningOn(targets), "lasted_ms", int64(lasted))
}

// endDoubtfulEvacuations ends the evacuations whose doubt is over.
func (b *Board) endDoubtfulEvacuations(now clock.Millis) {
	for zone, e := range b.evacuations {
		if e.inDoubt() && now >= e.doubtUntil {
			b.endEvacuation(now, zone)
		}
	}
}

// targetsIn returns the targets of a zone.
func (b *Board) targetsIn(zone string) []*targetState {
	var found []*targetState
	for _, s := range b.targets {
		if s.Zone == zone {
			found = append(found, s)
		}
	}
	return found
}

// runningOn returns the number of requests that run at some targets.
func runningOn(targets []*targetState) int {
	count := 0
	for _, s := range targets {
		count += s.runningCount()
	}
	return count
}

// notExcluded returns the targets that a request does not exclude, or all of them if it excludes all.
func notExcluded(targets []*targetState, req Requirements) []*targetState {
	kept := slices.DeleteFunc(slices.Clone(targets), func(s *targetState) bool { return req.Exclude[s.ID] })
	if len(kept) == 0 {
		return targets
	}
	return kept
}

// Evacuated reports whether a target is in an evacuated zone.
func (b *Board) Evacuated(target string) bool { return b.evacuated([]string{target}) }

// Evacuated reports whether the target, or a helper, is in a zone that has been evacuated since the placement. Then the request is to
// be placed anew, unless it was sent.
func (p *Placement) Evacuated() bool {
	return p.board.evacuated(append(p.HelperIDs(), p.Target.ID))
}

// evacuated reports whether one of some targets is in an evacuated zone. Each request asks, so that it costs a call to the loop only
// during an evacuation.
func (b *Board) evacuated(targets []string) bool {
	if !b.anyEvacuated.Load() {
		return false
	}
	found := false
	b.Loop.Call(func() {
		found = slices.ContainsFunc(targets, func(id string) bool {
			s := b.targets[id]
			return s != nil && s.evacuation.inForce()
		})
	})
	return found
}

// EvacuatedZones returns the evacuated zones that have targets, by name.
func (b *Board) EvacuatedZones() []EvacuatedZone {
	if !b.anyEvacuated.Load() {
		return nil
	}
	var zones []EvacuatedZone
	b.Loop.Call(func() {
		now := clock.Now()
		for zone, e := range b.evacuations {
			if targets := b.targetsIn(zone); len(targets) > 0 {
				zones = append(zones, EvacuatedZone{Zone: zone, Age: now - e.since, InDoubt: e.inDoubt(), Requests: runningOn(targets)})
			}
		}
	})
	slices.SortFunc(zones, func(a, b EvacuatedZone) int { return cmp.Compare(a.Zone, b.Zone) })
	return zones
}
