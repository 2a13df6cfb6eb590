//go:build review

// Command stand3 plays the scripted cases of the third review: it starts stand-ins of the platform's store and of targets, real
// edge processes and clients, and writes what was sent, answered and run to a record.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held     = 0 // the rule held
	broken   = 1 // the rule was broken
	notRun   = 2 // the case could not run
	maxTime  = 100 * time.Second
	apiKey   = "s989anu6wsjnbanfqasn"
	tenant   = "cuka620"
	hostName = "hulo84.example"
)

// cases are the cases by name. Each returns an exit status.
var cases = map[string]func(*stage, bool) int{}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE PROGRAM RECORD")
		os.Exit(notRun)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(notRun)
	}
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	s, err := newStage(program, os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	done := make(chan int, 1)
	go func() { done <- play(s, trouble) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	status := notRun
	select {
	case status = <-done:
	case <-stop:
		s.log("told to stop")
	case <-time.After(maxTime):
		s.log("the case took too long")
	}
	s.log("exit status %d, trouble %v", status, trouble)
	s.close()
	os.Exit(status)
}
