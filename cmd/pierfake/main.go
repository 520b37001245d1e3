package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/corianderpier/corianderpier/internal/fake"
)

func main() {
	root := &ffcli.Command{
		Name:        "pierfake",
		ShortUsage:  "pierfake <store|engine|plain> [flags]",
		Subcommands: []*ffcli.Command{storeCommand(), engineCommand(), plainCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(context.Background(), os.Args[1:])
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "pierfake:", err)
		os.Exit(1)
	}
}

// serve listens on each address, prints the real ones in one line, and serves.
func serve(addrs []string, handler func(i int) http.Handler) error {
	failed := make(chan error, len(addrs))
	var bound []string
	for i, addr := range addrs {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		bound = append(bound, listener.Addr().String())
		server := &http.Server{Handler: handler(i), ReadHeaderTimeout: time.Minute}
		go func() { failed <- server.Serve(listener) }()
	}
	fmt.Println(strings.Join(bound, ","))
	return <-failed
}

// storeFaults is what goes wrong with the object API, changed over HTTP.
type storeFaults struct {
	Refuse     bool    `json:"refuse"`
	Delay      int     `json:"delay_ms"`
	LoseAnswer float64 `json:"lose_answer"` // share of the writes
	Late       float64 `json:"late"`        // share of the writes
	Stale      float64 `json:"stale"`       // share of the reads
	Seed       uint64  `json:"seed"`
}

const lateBy = 300 * time.Millisecond

func (f storeFaults) fault(r *http.Request, random func() float64) fake.StoreFault {
	out := fake.StoreFault{Refuse: f.Refuse, Delay: time.Duration(f.Delay) * time.Millisecond}
	if r.Method == http.MethodGet {
		out.StaleRead = random() < f.Stale
		return out
	}
	out.LoseAnswer = random() < f.LoseAnswer
	if !out.LoseAnswer && random() < f.Late {
		out.ApplyAfter = lateBy
	}
	return out
}

func storeCommand() *ffcli.Command {
	fs := flag.NewFlagSet("store", flag.ContinueOnError)
	listen := fs.String("listen", "127.0.0.1:0", "address")
	return &ffcli.Command{
		Name: "store", ShortUsage: "pierfake store [-listen ADDRESS]", ShortHelp: "an object API in memory", FlagSet: fs,
		Exec: func(context.Context, []string) error {
			return serve([]string{*listen}, func(int) http.Handler { return faultyStore() })
		},
	}
}

func faultyStore() http.Handler {
	s := fake.NewStore()
	var faults atomic.Pointer[storeFaults]
	faults.Store(&storeFaults{})
	s.FaultFor = func(r *http.Request) fake.StoreFault { return faults.Load().fault(r, rand.Float64) }
	mux := http.NewServeMux()
	mux.Handle("/", s)
	mux.HandleFunc("POST /admin/fault", func(_ http.ResponseWriter, r *http.Request) {
		var f storeFaults
		if json.NewDecoder(r.Body).Decode(&f) == nil {
			faults.Store(&f)
		}
	})
	mux.HandleFunc("GET /admin/calls", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.TakeCallCounts())
	})
	return mux
}

func engineCommand() *ffcli.Command {
	fs := flag.NewFlagSet("engine", flag.ContinueOnError)
	listen := fs.String("listen", "127.0.0.1:0", "addresses, comma-separated; an engine on each")
	memory := fs.Int("memory", 400_000, "tokens")
	prefill := fs.Int("prefill", 100_000, "prompt tokens a second")
	step := fs.Duration("step", 25*time.Millisecond, "between generated tokens")
	fenced := fs.Bool("fenced", false, "refuse orders with an old fencing number")
	loading := fs.Duration("loading", 200*time.Millisecond, "of a change of state")
	batch := fs.Int("batch", 64, "streams that generate at once")
	return &ffcli.Command{
		Name: "engine", ShortUsage: "pierfake engine [flags]", ShortHelp: "model engines", FlagSet: fs,
		Exec: func(context.Context, []string) error {
			return serve(strings.Split(*listen, ","), func(i int) http.Handler {
				e := fake.NewEngine(fmt.Sprintf("engine-%d", i))
				e.MemoryTokens, e.PrefillRate, e.StepTime, e.BatchSize = *memory, *prefill, *step, *batch
				e.ChecksFence, e.LoadTime = *fenced, *loading
				return e
			})
		},
	}
}

func plainCommand() *ffcli.Command {
	fs := flag.NewFlagSet("plain", flag.ContinueOnError)
	listen := fs.String("listen", "127.0.0.1:0", "addresses, comma-separated; a service on each")
	return &ffcli.Command{
		Name: "plain", ShortUsage: "pierfake plain [-listen ADDRESSES]", ShortHelp: "plain services", FlagSet: fs,
		Exec: func(context.Context, []string) error {
			return serve(strings.Split(*listen, ","), func(i int) http.Handler {
				return &fake.Plain{Name: fmt.Sprintf("plain-%d", i)}
			})
		},
	}
}
