// Program standin runs one case of the review with stand-ins of the platform, of workers and of clients.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime is the longest that a case may take.
const maxTime = 110 * time.Second

func main() {
	if len(os.Args) != 3 {
		fatal(fmt.Errorf("usage: standin CASE FOLDER"))
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() { fatal(fmt.Errorf("stopped by %s", <-stop)) }()
	time.AfterFunc(maxTime, func() { fatal(fmt.Errorf("not done after %s", maxTime)) })
	rec := newRecorder(os.Args[2])
	trouble := os.Getenv("TROUBLE") != "0"
	cases := map[string]func(*recorder, bool){"path": pathCase, "foreign": foreignCase, "ticket": ticketCase, "watch": watchCase, "leave": leaveCase}
	run := cases[os.Args[1]]
	if run == nil {
		fatal(fmt.Errorf("no case %q", os.Args[1]))
	}
	run(rec, trouble)
	if n := rec.brokenCount(); n > 0 {
		fmt.Println("rule broken:", rec.fails[0])
		os.Exit(1)
	}
	fmt.Println("rule held")
}
