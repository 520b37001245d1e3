package front

import (
	"encoding/json"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

// stream writes an answer as server-sent events.
type stream struct {
	w       http.ResponseWriter
	control *http.ResponseController
	start   clock.Millis
	profile string
	begun   bool
	sent    int
}

func (s *stream) emit(f wire.Frame) error {
	if !s.begun {
		s.begun = true
		s.w.Header().Set("Content-Type", wire.TypeEvents)
		metrics.GetOrCreateHistogram(`pier_first_token_seconds{profile="` + s.profile + `"}`).
			Update(float64(clock.Now()-s.start) / float64(clock.Second))
	}
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
