//go:build review

// Command stand plays the review's cases: it starts the store and the backend servers as stand-ins that follow the
// platform's pages, starts real edge processes with the command of the deploy file, sends the callers' requests, and
// checks one rule.
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

// maxRun ends a case that hangs, before the two minutes that a script may run.
const maxRun = 110 * time.Second

// cases are the cases by the name that a script gives. Each file of a case adds its own.
var cases = map[string]func(*stage) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(2)
	}
	os.Exit(playCase(cases[os.Args[1]], os.Args[2]))
}

// playCase plays a case and returns the exit code. All processes that the case started have ended when it returns.
func playCase(play func(*stage) (bool, error), recordPath string) (code int) {
	s, err := newStage(recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		s.close()
		os.Exit(2)
	}()
	time.AfterFunc(maxRun, func() {
		s.note("the case ran for %s and is ended", maxRun)
		s.close()
		os.Exit(2)
	})
	defer func() {
		if failure := recover(); failure != nil {
			s.note("the case could not run: %v", failure)
			code = 2
		}
	}()
	broken, err := play(s)
	switch {
	case err != nil:
		s.note("the case could not run: %s", err)
		return 2
	case broken:
		s.note("RESULT: the rule was broken")
		return 1
	}
	s.note("RESULT: the rule held")
	return 0
}
