package model

import (
	"testing"

	"github.com/matryer/is"
)

// sheet is the engine of the users' sheets.
var sheet = Engine{
	Slots: 16, Memory: 405_000, StepTime: 1.31, SequenceTime: 0.000917, ContextTime: 0.00213,
	PrefillRate: 154, AttentionTime: 0.162, ChunkTokens: 2048, StepsPerPass: 34,
}

// A prompt of 182,000 tokens takes 3.9 s to be read alone, and a half of it half as long.
func TestReadTime(t *testing.T) {
	is := is.New(t)
	whole := sheet.ReadTime(182_000)
	is.True(whole > 3800 && whole < 3950)
	is.Equal(sheet.PartTime(182_000, 2), whole/2)
	is.Equal(Engine{}.ReadTime(1000), 0.0) // a plain service reads nothing
}

// A pass beside answers reads a bounded number of tokens; without answers it is nothing but reading.
func TestPassTime(t *testing.T) {
	is := is.New(t)
	long := sheet.NewTask(182_000, 1, 182_000, 600, false)
	is.Equal((&Schedule{Engine: sheet}).Forecast(long).Read[0], long.Total)
	alone := sheet.WriteTime(1, 5000)
	is.True(alone > 44 && alone < 46)
	beside := newSchedule(1).Forecast(long).Longest
	is.True(beside > 1400 && beside < 1600) // 69,632 of 182,000 tokens
}
