package model

import (
	"testing"

	"github.com/matryer/is"
)

// testEngine is the engine that the users' specification describes.
var testEngine = Engine{
	Slots: 16, Memory: 405_000, StepTime: 1.31, SequenceTime: 0.000917, ContextTime: 0.00213,
	PrefillRate: 154, AttentionTime: 0.162, ChunkTokens: 2048, StepsPerPass: 34,
}

// An idle engine prefills 182,000 tokens in 3.9 s, and one of two equal parts of them in half the time.
func TestPrefillTime(t *testing.T) {
	is := is.New(t)
	whole := testEngine.PrefillTime(182_000)
	is.True(whole > 3800 && whole < 3950)
	is.Equal(testEngine.PartPrefillTime(182_000, 2), whole/2)
	is.Equal(Engine{}.PrefillTime(1000), 0.0) // a plain service has no prefill
}

// A pass that decodes prefills a bounded number of tokens; an engine that decodes nothing prefills without
// interruption.
func TestPassTime(t *testing.T) {
	is := is.New(t)
	long := testEngine.NewTask(182_000, 1, 182_000, 600, false)
	is.Equal((&Schedule{Engine: testEngine}).Forecast(long).PrefillEnds[0], long.PrefillTotal)
	alone := testEngine.DecodePassTime(1, 5000)
	is.True(alone > 44 && alone < 46)
	longest := newSchedule(1).Forecast(long).LongestPass
	is.True(longest > 1400 && longest < 1600) // 69,632 of 182,000 tokens
}
