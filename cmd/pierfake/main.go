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

// serve listens on each address and serves until a listener fails. It prints the bound addresses, comma-separated on one
// line, so that callers may ask for port 0.
func serve(addrs []string, handler func(i int) http.Handler) error {
	failed := make(chan error, len(addrs))
	var boundAddrs []string
	for i, addr := range addrs {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		boundAddrs = append(boundAddrs, listener.Addr().String())
		server := &http.Server{Handler: handler(i), ReadHeaderTimeout: time.Minute}
		go func() { failed <- server.Serve(listener) }()
	}
	fmt.Println(strings.Join(boundAddrs, ","))
	return <-failed
}

// storeFaultRates sets which faults the fake object API injects; POST /admin/fault replaces it.
type storeFaultRates struct {
	Refuse      bool    `json:"refuse"`
	DelayMillis int     `json:"delay_ms"`
	LoseAnswer  float64 `json:"lose_answer"` // share of writes that take effect but get no answer
	LateWrite   float64 `json:"late"`        // share of writes that get no answer and take effect after lateWriteDelay
	StaleRead   float64 `json:"stale"`       // share of reads that return an older version
	Seed        uint64  `json:"seed"`
}

const lateWriteDelay = 300 * time.Millisecond

// draw picks the fault of one request.
func (f storeFaultRates) draw(r *http.Request, random func() float64) fake.StoreFault {
	out := fake.StoreFault{Refuse: f.Refuse, Delay: time.Duration(f.DelayMillis) * time.Millisecond}
	if r.Method == http.MethodGet {
		out.StaleRead = random() < f.StaleRead
		return out
	}
	out.LoseAnswer = random() < f.LoseAnswer
	if !out.LoseAnswer && random() < f.LateWrite {
		out.ApplyAfter = lateWriteDelay
	}
	return out
}

func storeCommand() *ffcli.Command {
	fs := flag.NewFlagSet("store", flag.ContinueOnError)
	listen := fs.String("listen", "127.0.0.1:0", "address")
	return &ffcli.Command{
		Name: "store", ShortUsage: "pierfake store [-listen ADDRESS]", ShortHelp: "an in-memory object API", FlagSet: fs,
		Exec: func(context.Context, []string) error {
			return serve([]string{*listen}, func(int) http.Handler { return newFaultyStore() })
		},
	}
}

// newFaultyStore returns a store with handlers that set its faults and count its calls.
func newFaultyStore() http.Handler {
	s := fake.NewStore()
	var faults atomic.Pointer[storeFaultRates]
	faults.Store(&storeFaultRates{})
	s.FaultFor = func(r *http.Request) fake.StoreFault { return faults.Load().draw(r, rand.Float64) }
	mux := http.NewServeMux()
	mux.Handle("/", s)
	mux.HandleFunc("POST /admin/fault", func(_ http.ResponseWriter, r *http.Request) {
		var f storeFaultRates
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
	memory := fs.Int("memory", 400_000, "KV memory of an engine, in tokens")
	prefill := fs.Int("prefill", 100_000, "prompt tokens prefilled per second")
	step := fs.Duration("step", 25*time.Millisecond, "time between generated tokens")
	fenced := fs.Bool("fenced", false, "reject orders with an outdated fencing number")
	loading := fs.Duration("loading", 200*time.Millisecond, "time that a change of state takes, such as loading weights")
	batch := fs.Int("batch", 64, "streams that decode at the same time")
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
