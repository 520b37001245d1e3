package board

import (
	"slices"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// addRequest adds a request to its targets, with its prefill reduced by the time since it was placed.
func (b *Board) addRequest(now clock.Millis, k requestKey, r ActiveRequest) {
	parts := 1 + len(r.Helpers)
	targets := append([]string{r.Target}, r.Helpers...)
	b.requests[k] = &knownRequest{targets: targets, lastHeard: now}
	for i, id := range targets {
		s := b.target(id)
		s.advance(now)
		tokens := r.PromptTokens / parts
		if i == 0 {
			tokens = r.PromptTokens - (parts-1)*tokens
		}
		task := s.schedule.Engine.NewTask(r.PromptTokens, parts, tokens, r.MaxOutputTokens, i > 0)
		task.PrefillLeft = max(0, task.PrefillLeft-float64(r.Age))
		if r.FirstEventSeen {
			task.PrefillLeft = 0
		}
		s.schedule.Add(float64(now), task)
		if r.Age <= rebroadcastInterval { // an older one is told of again, and was counted before
			s.limit.take(now)
			b.chargeCold(now, s, k.owner == b.Self)
		}
		s.assignments = append(s.assignments, &assignment{requestKey: k, request: r, placedAt: now - r.Age, task: task})
	}
}

// recordFirstEvent marks a request's prompt as prefilled. at is when its first event was received, or zero if that is
// unknown.
func (b *Board) recordFirstEvent(k requestKey, at clock.Millis) {
	r := b.requests[k]
	if r == nil {
		return
	}
	now := clock.Now()
	for _, id := range r.targets {
		s := b.targets[id]
		if s == nil {
			continue
		}
		for _, a := range s.assignments {
			if a.requestKey != k || a.request.FirstEventSeen {
				continue
			}
			s.advance(now)
			if len(r.targets) == 1 && at > 0 {
				s.schedule.ObserveFirstEvent(a.task, float64(at))
			} else {
				s.schedule.MarkPrefilled(a.task)
			}
			a.request.FirstEventSeen = true
		}
		if s.isHelperOf(k) && !s.keepsMemoryOf(k) {
			s.remove(k)
			b.signalRoom(s.Service)
		}
	}
}

// signalRoom tells those who wait that a request has left a target of a service.
func (b *Board) signalRoom(service string) {
	if b.OnRoom != nil {
		b.OnRoom(service)
	}
}

// isHelperOf reports whether the target prefills a part of a request for another one.
func (s *targetState) isHelperOf(k requestKey) bool {
	return slices.ContainsFunc(s.assignments, func(a *assignment) bool { return a.requestKey == k && a.isHelper() })
}

// keepsMemoryOf reports whether the target keeps a part of a request in memory until the request ends.
func (s *targetState) keepsMemoryOf(k requestKey) bool {
	return slices.ContainsFunc(s.assignments, func(a *assignment) bool { return a.requestKey == k && a.request.SplitMemory })
}

// removeRequest removes a request from its targets.
func (b *Board) removeRequest(k requestKey) {
	r := b.requests[k]
	if r == nil {
		return
	}
	delete(b.requests, k)
	service := ""
	for _, id := range r.targets {
		s := b.targets[id]
		if s == nil {
			continue
		}
		s.remove(k)
		service = s.Service
		if s.delisted && len(s.assignments) == 0 {
			delete(b.targets, id)
		}
	}
	if service != "" {
		b.signalRoom(service)
	}
}

// refresh records that a request was broadcast again. It reports whether the request is known.
func (b *Board) refresh(now clock.Millis, k requestKey) bool {
	r := b.requests[k]
	if r == nil {
		return false
	}
	r.lastHeard = now
	return true
}
