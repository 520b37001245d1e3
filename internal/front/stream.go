package front

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

const commentPeriod = time.Second

// stream writes an answer as server-sent events.
type stream struct {
	mu      sync.Mutex
	w       http.ResponseWriter
	control *http.ResponseController
	start   clock.Millis
	profile string
	begun   bool
	sent    int
}

// begin sends the header of a streamed answer.
func (s *stream) begin() {
	if !s.begun {
		s.begun = true
		s.w.Header().Set("Content-Type", wire.ContentTypeEvents)
	}
}

// keepAlive sends comments until the returned function is called, so that a caller can tell waiting from a silent connection.
func (s *stream) keepAlive() (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(commentPeriod)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				s.mu.Lock()
				s.begin()
				_ = s.event(": waiting\n\n")
				s.mu.Unlock()
			}
		}
	})
	return func() {
		close(done)
		group.Wait()
	}
}

func (s *stream) emit(f wire.Frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sent == 0 {
		metrics.GetOrCreateHistogram(`pier_first_token_seconds{profile="` + s.profile + `"}`).
			Update(float64(clock.Now()-s.start) / float64(clock.Second))
	}
	s.begin()
	s.sent += len(f.Text)
	data, err := json.Marshal(f)
	if err != nil {
		return err
	}
	return s.event("data: " + string(data) + "\n\n")
}

func (s *stream) end() { _ = s.event("data: " + wire.EndOfEvents + "\n\n") }

func (s *stream) fail(p wire.Problem) {
	data, err := json.Marshal(p)
	if err != nil {
		return
	}
	_ = s.event("event: " + wire.EventError + "\ndata: " + string(data) + "\n\n")
}

func (s *stream) event(text string) error {
	if _, err := s.w.Write([]byte(text)); err != nil {
		return err
	}
	return s.control.Flush()
}
