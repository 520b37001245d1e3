package target

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/engine"
)

func streamOf(t *testing.T, body string) (string, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, body) }))
	defer server.Close()
	l := &Client{}
	l.Init()
	text := ""
	_, err := l.Stream(context.Background(), strings.TrimPrefix(server.URL, "http://"), engine.CompletionRequest{Attempt: "a"}, false, clock.Second,
		func(engine.Load) {}, func(f engine.Frame) error { text += f.Text; return nil })
	return text, err
}

// Only the next piece of the attempt's own answer is passed on.
func TestStreamChecks(t *testing.T) {
	is := is.New(t)
	good := `data: {"attempt":"a","offset":0,"text":"one "}` + "\n\n"
	end := `data: {"attempt":"a","offset":4,"text":"two","total":7,"done":true}` + "\n\n"
	text, err := streamOf(t, good+end)
	is.NoErr(err)
	is.Equal(text, "one two")
	for name, body := range map[string]string{
		"another attempt": good + strings.Replace(end, `"a"`, `"b"`, 1),
		"a gap":           good + strings.Replace(end, `:4`, `:5`, 1),
		"a repetition":    good + good,
		"a wrong total":   good + strings.Replace(end, `:7`, `:9`, 1),
		"not JSON":        good + "data: x\n\n",
	} {
		text, err := streamOf(t, body)
		is.Equal(KindOf(err), Mismatched) // wrong piece
		is.Equal(text, "one ")            // what came before it
		_ = name
	}
	_, err = streamOf(t, good)
	is.Equal(KindOf(err), Broken) // ended early
}

// A failed dial proves that nothing was processed; a lost answer proves nothing.
func TestProofOfNotRun(t *testing.T) {
	is := is.New(t)
	l := &Client{}
	l.Init()
	_, _, err := l.Act(context.Background(), "127.0.0.1:1", engine.ActRequest{Attempt: "a"})
	is.Equal(KindOf(err), NotProcessed)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer server.Close()
	_, _, err = l.Act(context.Background(), strings.TrimPrefix(server.URL, "http://"), engine.ActRequest{Attempt: "a"})
	is.Equal(KindOf(err), Broken)
}

func FuzzStreamLine(f *testing.F) {
	f.Add([]byte(`data: {"attempt":"a","offset":0,"text":"x","total":1,"done":true}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		passed := 0
		c := &check{attempt: "a", pass: func(f engine.Frame) error {
			if f.Attempt != "a" || f.Offset != 0 {
				t.Fatal("a foreign frame was passed on")
			}
			passed += len(f.Text)
			return nil
		}}
		if err := c.line(line); err == nil && c.offset != passed {
			t.Fatal("the offset does not match")
		}
	})
}
