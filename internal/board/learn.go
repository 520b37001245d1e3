package board

const (
	answerMemory = 200  // answers over which their length is averaged
	minAnswers   = 0.05 // smallest learned length of answers, as a share of their limits
)

// answerLength learns how long the answers of a service are. Callers state the most tokens that may be generated, and mostly get fewer.
type answerLength struct {
	passes, limit float64 // sums over answers, decayed by each of them: the passes that they took, and could have taken
}

// add adds an answer.
func (l *answerLength) add(passes, limit float64) {
	const keep = 1 - 1.0/answerMemory
	l.passes, l.limit = keep*l.passes+min(passes, limit), keep*l.limit+limit
}

// share returns the mean length as a share of the limit; as long as nothing is known, answers reach their limits.
func (l *answerLength) share() float64 {
	if l == nil || l.limit <= 0 {
		return 1
	}
	return max(minAnswers, l.passes/l.limit)
}

// expectedOutput returns how many tokens the answer to a request is likely to have.
func (b *Board) expectedOutput(service string, limit int) int {
	return int(b.answers[service].share() * float64(limit))
}

// RecordEvents records that the answer is complete, with a number of events. An engine sends one event in each pass.
func (p *Placement) RecordEvents(events int) {
	b := p.board
	b.Loop.Post(func() {
		r := b.ownRequests[p.number]
		engine := b.engine(p.Target.Service)
		if r == nil || engine.PrefillRate <= 0 {
			return
		}
		if limit := engine.Passes(r.MaxOutputTokens); limit > 0 {
			b.recordAnswer(p.Target.Service, float64(events), limit)
		}
	})
}

// recordAnswer adds an answer to what is learned of a service.
func (b *Board) recordAnswer(service string, passes, limit float64) {
	if b.answers[service] == nil {
		b.answers[service] = &answerLength{}
	}
	b.answers[service].add(passes, limit)
}
