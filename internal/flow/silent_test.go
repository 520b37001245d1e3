package flow

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/fake"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

// pauses sends nothing for a while before each of some writes, as an engine does whose process is silent.
type pauses struct {
	http.ResponseWriter
	every int
	left  *atomic.Int32
	n     int
}

func (p *pauses) Write(data []byte) (int, error) {
	if p.n++; p.n%p.every == 0 && p.left.Add(-1) >= 0 {
		time.Sleep(stallTimeout.Duration() + 300*time.Millisecond)
	}
	return p.ResponseWriter.Write(data)
}

func (p *pauses) Unwrap() http.ResponseWriter { return p.ResponseWriter }

// Guards against: an answer is given up as its engine was silent for a while several times, although it went on each time.
func TestEngineSilentRepeatedly(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	e := fake.NewEngine("engine-0")
	e.StepTime = 300 * time.Millisecond
	var left atomic.Int32
	left.Store(4)
	p := newPromptsOn(t, serveEngines(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.ServeHTTP(&pauses{ResponseWriter: w, every: 3, left: &left}, r)
	})))
	var released atomic.Int32
	p.ReleaseHolding = func(string, string) { released.Add(1) }
	job := testJob()
	job.MaxOutputTokens = 40
	job.Deadline = clock.Now() + 30*clock.Second
	text := ""
	err := p.Run(context.Background(), job, func(f wire.Frame) error {
		text += f.Text
		return nil
	})
	is.NoErr(err)
	is.Equal(text, fake.CompletionText("prompt", 40))
	is.Equal(released.Load(), int32(0)) // the work at the engine was not given up
}
