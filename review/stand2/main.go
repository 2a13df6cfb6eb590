//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	noCase  = 2
	maxTime = 115 * time.Second
)

// play is what a case gets.
type play struct {
	dir     string // temporary folder
	trouble bool
	began   time.Time

	mu     sync.Mutex
	record *os.File
}

// say writes a line to the record.
func (p *play) say(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = fmt.Fprintf(p.record, "%8.3f ", time.Since(p.began).Seconds())
	_, _ = fmt.Fprintf(p.record, format+"\n", args...)
}

var cases = map[string]func(*play) (bool, error){
	"pipelined": playPipelined,
	"objects":   playObjects,
	"ahead":     playAhead,
	"route":     playRoute,
	"unsigned":  playUnsigned,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		os.Exit(noCase)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return noCase
	}
	defer func() {
		if os.Getenv("KEEP") == "" { // otherwise the logs stay
			_ = os.RemoveAll(dir)
		}
	}()
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return noCase
	}
	defer func() { _ = record.Close() }()
	p := &play{dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	defer endAll()
	time.AfterFunc(maxTime, func() {
		p.say("not ended in time")
		endAll()
		os.Exit(noCase)
	})
	ok, err := cases[name](p)
	switch {
	case err != nil:
		p.say("the case could not run: %s", err)
		fmt.Println("the case could not run:", err)
		return noCase
	case !ok:
		fmt.Println("the rule was broken")
		return broken
	}
	fmt.Println("the rule held")
	return held
}
