package model

import "math"

// pairUnit is the number of token pairs that Engine.AttentionTime is given for.
const pairUnit = 1e6

// Engine describes the capacity and speed of an engine; all times are in milliseconds.
type Engine struct {
	Slots         int     // requests that can run at once; zero or less for no limit
	Memory        int     // KV cache capacity, in tokens
	StepTime      float64 // base duration of a decode step, which generates a token for every sequence
	SequenceTime  float64 // added to a step for each sequence
	ContextTime   float64 // added to a step for each 1,000 tokens of context of the sequences
	PrefillRate   float64 // prompt tokens prefilled per millisecond
	AttentionTime float64 // prefill time per million (pairUnit) pairs of a prompt token and an earlier one
	ChunkTokens   int     // most prompt tokens prefilled in a step
	StepsPerPass  int     // decode steps in a pass
	HopTime       float64 // added to a step if the context is spread over several engines
	ReportLag     float64 // age of an engine's load report when it arrives
}

// slots returns how many requests can run at once, or math.MaxInt if there is no limit.
func (e Engine) slots() int {
	if e.Slots <= 0 {
		return math.MaxInt
	}
	return e.Slots
}

// PrefillTime returns how long an idle engine takes to prefill a whole prompt.
func (e Engine) PrefillTime(tokens int) float64 {
	return e.PartPrefillTime(tokens, 1)
}

// PartPrefillTime returns how long an idle engine takes to prefill one of several equal parts of a prompt. Attention
// relates each token of the prompt to all earlier ones, which makes about n*n/2 pairs.
func (e Engine) PartPrefillTime(tokens, parts int) float64 {
	if e.PrefillRate <= 0 {
		return 0
	}
	n := float64(tokens)
	whole := n/e.PrefillRate + n*n/2/pairUnit*e.AttentionTime
	return whole / float64(parts)
}

// DecodePassTime returns how long a pass without prefill takes; context is the total tokens of context of its
// sequences.
func (e Engine) DecodePassTime(sequences, context int) float64 {
	step := e.StepTime + float64(sequences)*e.SequenceTime + float64(context)/1000*e.ContextTime
	return float64(max(e.StepsPerPass, 1)) * step
}

// Passes returns how many passes it takes to generate a number of tokens.
func (e Engine) Passes(tokens int) float64 { return float64(tokens) / float64(max(e.StepsPerPass, 1)) }

// MaxPassTokens returns the most prompt tokens that a pass prefills while it decodes other sequences.
func (e Engine) MaxPassTokens() int { return e.ChunkTokens * max(e.StepsPerPass, 1) }
