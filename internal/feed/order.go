package feed

import (
	"bytes"
	"log/slog"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
)

// state is the active object with a digest of its value.
type state struct {
	Object
	digest uint64
}

// provenUntil returns the number of the source up to which an object is known to be the newest of its era.
func (o Object) provenUntil() uint64 { return max(o.AsOf, o.Version.Number) }

// sameAs reports whether two objects differ in their numbers alone.
func (o Object) sameAs(other Object) bool {
	return o.Version.Era == other.Version.Era && bytes.Equal(o.Value, other.Value)
}

// replaces returns the object as it is to replace the active one, and whether it is newer.
//
// A version may be too low: if something was removed from the source before anybody here had read it, nothing that is left shows
// that. Of two values the one that the source had later is newer, whatever their numbers, and gets a number that says so.
func (o Object) replaces(active Object) (Object, bool) {
	if active.IsZero() || o.Version.Era != active.Version.Era || o.provenUntil() == active.provenUntil() {
		return o, o.Version.After(active.Version)
	}
	if o.provenUntil() < active.provenUntil() {
		return o, false
	}
	if !o.Version.After(active.Version) {
		o.Version.Number = o.AsOf
	}
	return o, true
}

// applyIfNewer activates an object that is newer than the active one and reports whether it did. An older one, or one that Apply
// rejects, is counted as refused.
func (f *Feed) applyIfNewer(o Object) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	active := f.Current()
	if len(o.Value) == 0 || o.Version == active.Version && o.AsOf == 0 && active.AsOf == 0 {
		return false
	}
	if o.sameAs(active) {
		f.mergeNumbers(o)
		return false
	}
	o, newer := o.replaces(active)
	if !newer {
		f.refuseOlder(o)
		return false
	}
	if err := f.Apply(o); err != nil {
		metrics.GetOrCreateCounter(`pier_feed_refused_total{feed="` + f.Name + `",reason="invalid"}`).Inc()
		slog.Error("object rejected", "feed", f.Name, "version", o.Version.String(), "error", err)
		return false
	}
	f.activate(&state{o, xxhash.Sum64(o.Value)})
	slog.Info("object applied", "feed", f.Name, "version", o.Version.String())
	f.tellUpdate()
	return true
}

// activate makes an object the active one.
func (f *Feed) activate(s *state) {
	f.current.Store(s)
	if known := f.highestKnown.Load(); known == nil || !known.After(s.Version) {
		f.staleSince.Store(0)
	}
}

// tellUpdate calls OnUpdate.
func (f *Feed) tellUpdate() {
	if f.OnUpdate != nil {
		f.OnUpdate()
	}
}

// mergeNumbers takes over the higher numbers of an object that has the same value as the active one.
func (f *Feed) mergeNumbers(o Object) {
	merged := *f.current.Load()
	merged.AsOf = max(merged.AsOf, o.AsOf)
	merged.Version.Number = max(merged.Version.Number, o.Version.Number)
	f.activate(&merged)
}

// refuseOlder counts and logs an object that is older than the active one. If its version does not say so, the active one gets a
// higher version, so that the others take it.
func (f *Feed) refuseOlder(o Object) {
	metrics.GetOrCreateCounter(`pier_feed_refused_total{feed="` + f.Name + `",reason="older"}`).Inc()
	active := *f.current.Load()
	slog.Info("older object refused", "feed", f.Name, "version", o.Version.String(), "current", active.Version.String(), "proven", active.provenUntil())
	if active.Version.After(o.Version) || active.provenUntil() <= o.provenUntil() {
		return
	}
	active.Version.Number = active.provenUntil()
	f.activate(&active)
	slog.Info("object renumbered", "feed", f.Name, "version", active.Version.String())
	f.tellUpdate()
}
