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

const keepAliveInterval = time.Second // between comments

// eventStream writes the answer to a prompt as server-sent events. Its lock keeps frames and keep-alive comments apart.
type eventStream struct {
	mu        sync.Mutex
	w         http.ResponseWriter
	control   *http.ResponseController
	start     clock.Millis
	profile   string
	started   bool // the header is sent with the first event or comment
	sentBytes int  // of text
}

// setHeader sets the header of the answer before the first write.
func (s *eventStream) setHeader() {
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", wire.ContentTypeEvents)
	}
}

// keepAlive sends comments until the returned function is called, so that the caller can tell a request that waits from a
// dead connection.
func (s *eventStream) keepAlive() (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(keepAliveInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				s.mu.Lock()
				s.setHeader()
				_ = s.write(": waiting\n\n")
				s.mu.Unlock()
			}
		}
	})
	return func() {
		close(done)
		group.Wait()
	}
}

// emit sends a frame. It records the time until the first one as the time to first token.
func (s *eventStream) emit(f wire.Frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sentBytes == 0 {
		metrics.GetOrCreateHistogram(`pier_first_token_seconds{profile="` + s.profile + `"}`).
			Update(float64(clock.Now()-s.start) / float64(clock.Second))
	}
	s.setHeader()
	s.sentBytes += len(f.Text)
	data, err := json.Marshal(f)
	if err != nil {
		return err
	}
	return s.write("data: " + string(data) + "\n\n")
}

// finish sends the event that ends a complete answer.
func (s *eventStream) finish() { _ = s.write("data: " + wire.EndOfEvents + "\n\n") }

// sendProblem sends an error event, which ends an answer that failed after it had begun.
func (s *eventStream) sendProblem(p wire.Problem) {
	data, err := json.Marshal(p)
	if err != nil {
		return
	}
	_ = s.write("event: " + wire.EventError + "\ndata: " + string(data) + "\n\n")
}

func (s *eventStream) write(text string) error {
	if _, err := s.w.Write([]byte(text)); err != nil {
		return err
	}
	return s.control.Flush()
}
