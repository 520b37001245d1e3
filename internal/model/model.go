package model

import "math"

// million is the unit of pairs in Engine.PairTime.
const million = 1e6

// Engine describes the speed of an engine; all times are in milliseconds.
type Engine struct {
	Slots         int     // requests that run at once
	Memory        int     // tokens
	StepTime      float64 // of one token of every answer
	SequenceTime  float64 // added to a step for each answer
	ContextTime   float64 // added to a step for each 1,000 tokens of context of the answers
	PrefillRate   float64 // prompt tokens read a millisecond
	AttentionTime float64 // for a million pairs of a prompt token and an earlier one
	ChunkTokens   int     // prompt tokens read in a step at most
	StepsPerPass  int     // steps in a pass that writes
	HopTime       float64 // added to a step whose context lies on several engines
	ReportLag     float64 // age of a load report
}

// slots returns how many requests run at once; without a bound, as many as there are.
func (e Engine) slots() int {
	if e.Slots <= 0 {
		return math.MaxInt
	}
	return e.Slots
}

// ReadTime returns how long a whole prompt takes to be read.
func (e Engine) ReadTime(tokens int) float64 {
	return e.PartTime(tokens, 1)
}

// PartTime returns how long one of several equal parts of a prompt takes to be read.
func (e Engine) PartTime(tokens, parts int) float64 {
	if e.PrefillRate <= 0 {
		return 0
	}
	n := float64(tokens)
	whole := n/e.PrefillRate + n*n/2/million*e.AttentionTime
	return whole / float64(parts)
}

// WriteTime returns how long a pass takes that reads nothing.
func (e Engine) WriteTime(writers, context int) float64 {
	step := e.StepTime + float64(writers)*e.SequenceTime + float64(context)/1000*e.ContextTime
	return float64(max(e.StepsPerPass, 1)) * step
}

// PassTokens returns the most prompt tokens that a pass reads beside answers.
func (e Engine) PassTokens() int { return e.ChunkTokens * max(e.StepsPerPass, 1) }
