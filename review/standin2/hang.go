package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["hang"] = hang }

// crowd sends requests from many connections, each the next one when it has an answer, until the context ends.
type crowd struct {
	pause    time.Duration // of a client after a refusal
	answers  atomic.Int64
	statuses [6]atomic.Int64
	slowest  atomic.Int64 // milliseconds
	waiting  atomic.Int64
	lost     atomic.Int64 // requests whose connection ended without an answer
	keptLost sync.Map     // why they ended, by id, of requests that were not the first on their connections
}

func (c *crowd) run(ctx context.Context, addr string, clients int, request func(n int64) string) {
	var group sync.WaitGroup
	var number atomic.Int64
	for range clients {
		group.Go(func() {
			for ctx.Err() == nil {
				c.connection(ctx, addr, &number, request)
			}
		})
	}
	group.Wait()
}

func (c *crowd) connection(ctx context.Context, addr string, number *atomic.Int64, request func(n int64) string) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	r := bufio.NewReader(conn)
	for kept := false; ctx.Err() == nil; kept = true {
		began := time.Now()
		c.waiting.Add(1)
		sent := request(number.Add(1))
		if _, err := io.WriteString(conn, sent); err != nil {
			c.waiting.Add(-1)
			return
		}
		a := readAnswer(r, "POST")
		c.waiting.Add(-1)
		if a.Err != nil {
			c.lost.Add(1)
			_, id, _ := strings.Cut(sent, "X-Request-Id: ")
			id, _, _ = strings.Cut(id, "\r\n")
			if kept {
				c.keptLost.Store(id, a.Err.Error())
			}
			return
		}
		c.answers.Add(1)
		c.statuses[min(a.Status/100, 5)].Add(1)
		if ms := time.Since(began).Milliseconds(); ms > c.slowest.Load() {
			c.slowest.Store(ms)
		}
		if a.Status == http.StatusServiceUnavailable {
			time.Sleep(c.pause)
		}
		if a.Header.Get("Connection") == "close" {
			return
		}
	}
}

const (
	hangEngines   = 16 // as many as brew-models has
	hangInstances = 9
	hangRounds    = 3 // at most, each with another machine
	hangUsers     = 1430
	hangTimeoutMS = 2000 // of the plain route, which is checked at the end
	hangChecks    = 20
	hangSlack     = 500 * time.Millisecond // after the route's timeout, by when there has to be an answer

	cutRounds = 10
	cutRound  = 250 * time.Millisecond
	cutPart   = 70 * time.Millisecond // of a round: the machine dials, and its packets are dropped; the others dial after it
	cutBatch  = 10                    // streams that begin in a round

	usersTime = 14 * time.Second
	calmTime  = 9 * time.Second // longer than the 5 s after a press of clients and stable_ms together: all machines are in touch
)

// hang: a machine is cut off from the engines, so that others carry its connections. Many users come to it at once. When all that is over,
// plain requests are sent to it.
func hang(s *site) int {
	var gates []*gatedListener
	for n := range hangEngines {
		g := newGatedListener()
		gates = append(gates, g)
		w := startWorkerOn(g, fmt.Sprintf("eng-%d", n), "engine", true)
		w.Pause, w.Events = 230*time.Millisecond, 60 // on time, and no longer than a stream of the site may be
		s.store.put("servers", w.id, w.entry("ready"))
	}
	for n := range 3 {
		w := startWorker(fmt.Sprintf("desk-%d", n), "desk", false)
		s.store.put("servers", w.id, w.entry("ready"))
	}
	quick := route("/quick/", "streaming", "engine", 15000)
	quick["resumable"] = false
	s.writeConfig(3, nil, quick, route("/season/", "streaming", "engine", 15000), route("/status/", "safe", "desk", hangTimeoutMS))
	s.startInstances(hangInstances)
	for round := range hangRounds {
		if code := s.hangRound(s.instances[round], gates); code != 0 {
			return code
		}
	}
	return 0
}

// hangRound plays the disruptions on one machine and checks it afterwards.
func (s *site) hangRound(at *instance, gates []*gatedListener) int {
	traffic, endTraffic := context.WithCancel(context.Background())
	defer endTraffic()
	go s.ordinaryTraffic(traffic, at)
	s.beginStreams(at, gates, trouble() && os.Getenv("TROUBLE") != "users")
	s.note("connections that others have carried for %s: %v", at.name, at.grep("target reached through another instance", "via"))
	if trouble() && os.Getenv("TROUBLE") != "cut" {
		s.manyUsers(at)
	} else {
		time.Sleep(usersTime)
	}
	endTraffic()
	s.note("%s is alive %t, ready %t", at.name, at.alive(), at.isReady())
	time.Sleep(calmTime)
	return s.checkAnswers(at)
}

// beginStreams lets streams begin at an instance. With cut, the packets by which it opens connections to engines are lost meanwhile, and
// those of others are not.
func (s *site) beginStreams(at *instance, gates []*gatedListener, cut bool) {
	if cut {
		s.note("%s is cut off from the engines for %v", at.name, cutRounds*cutRound)
	}
	for round := range cutRounds {
		var open []func()
		for _, g := range gates {
			if cut {
				open = append(open, g.shut())
			}
		}
		for n := range cutBatch {
			go exchange(context.Background(), at.callers, "POST", text("POST", "/quick/x", fmt.Sprintf("q%d-%d", round, n), 15000, "prompt",
				"X-Token-Count: 4960,2040", "X-Prompt-Prefix: aa:40,cc:4920", "X-Model: m"))
		}
		time.Sleep(cutPart)
		for _, o := range open {
			o()
		}
		time.Sleep(cutRound - cutPart)
	}
}

// manyUsers lets many users come to an instance at once, who ask again at once when they are refused.
func (s *site) manyUsers(at *instance) {
	s.note("%d users come to %s at once", hangUsers, at.name)
	ctx, cancel := context.WithTimeout(context.Background(), usersTime)
	defer cancel()
	var c crowd
	go c.run(ctx, at.callers, hangUsers, func(n int64) string {
		return text("POST", "/season/x", fmt.Sprintf("c%d", n), 15000, "prompt", "X-Token-Count: 182000,600", "X-Prompt-Prefix: aa:40,bb:181960", "X-Model: m")
	})
	for ctx.Err() == nil {
		time.Sleep(time.Second)
		s.note("users: %d answers so far, %d wait, 2xx %d, 5xx %d", c.answers.Load(), c.waiting.Load(), c.statuses[2].Load(), c.statuses[5].Load())
	}
	s.note("the users have left")
}

// ordinaryTraffic sends status checks to all instances but one.
func (s *site) ordinaryTraffic(ctx context.Context, but *instance) {
	for n := 0; ctx.Err() == nil; n++ {
		if at := s.instances[n%len(s.instances)]; at != but {
			go exchange(ctx, at.callers, "GET", text("GET", "/status/x", fmt.Sprintf("o%d", n), 1000, ""))
		}
		time.Sleep(12 * time.Millisecond)
	}
}

// checkAnswers sends plain requests, each to be answered half a second after its route's timeout at the latest.
func (s *site) checkAnswers(at *instance) int {
	var unanswered atomic.Int64
	var group sync.WaitGroup
	for n := range hangChecks {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), hangTimeoutMS*time.Millisecond+hangSlack)
			defer cancel()
			id, began := fmt.Sprintf("s%d", n), time.Now()
			a := exchange(ctx, at.callers, "GET", text("GET", "/status/x", id, 10000, ""))
			if a.Err != nil {
				unanswered.Add(1)
			}
			s.note("status check %s to %s: status %d, error %v, after %d ms", id, at.name, a.Status, a.Err, time.Since(began).Milliseconds())
		})
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	s.note("%d of %d requests have no answer %v after their route's timeout of %d ms; %s is alive %t, ready %t",
		unanswered.Load(), hangChecks, hangSlack, hangTimeoutMS, at.name, at.alive(), at.isReady())
	if unanswered.Load() <= hangChecks/2 {
		return 0
	}
	at.signal(syscall.SIGQUIT) // the verdict stands; this shows where the process hangs
	at.awaitEnd()
	s.noteLoop(at)
	return 1
}

// noteLoop notes what the control loop of an instance waits for, from the stacks that it wrote at its end.
func (s *site) noteLoop(i *instance) {
	data, _ := os.ReadFile(i.log.Name())
	for _, stack := range strings.Split(string(data), "\n\n") {
		if strings.HasPrefix(stack, "goroutine ") && strings.Contains(stack, "loop.(*Loop).Run(") {
			for line := range strings.Lines(stack) {
				if !strings.HasPrefix(line, "\t") {
					s.note("stack of the control loop: %s", strings.TrimSpace(line))
				}
			}
		}
	}
}
