// Command review2 plays the cases of review/6 and on that are scripts.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name. They return the exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
var cases = map[string]func(s *site) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD, from the root of the repository")
		os.Exit(2)
	}
	s := newSite(os.Args[2])
	code := 2
	func() {
		defer s.close()
		defer func() {
			if p := recover(); p != nil {
				s.note("the case could not run: %v", p)
				code = 2
			}
		}()
		code = cases[os.Args[1]](s)
		s.note("exit %d", code)
	}()
	os.Exit(code)
}
