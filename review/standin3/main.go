// Command standin3 plays the cases of an independent review: it starts processes of the system and the stand-ins around them.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

var cases = map[string]func(rec *Record, trouble bool) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE FOLDER")
		os.Exit(notRun)
	}
	f, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	rec := &Record{f: f, began: time.Now()}
	os.Exit(play(rec, cases[os.Args[1]]))
}

func play(rec *Record, run func(rec *Record, trouble bool) int) (code int) {
	trouble := os.Getenv("TROUBLE") != "0"
	rec.Line("trouble: %t", trouble)
	defer func() {
		if p := recover(); p != nil {
			rec.Line("the case could not run: %v", p)
			fmt.Println("the case could not run:", p)
			code = notRun
		}
	}()
	code = run(rec, trouble)
	rec.Line("result: %d", code)
	fmt.Println("result:", code)
	return code
}
