// Command lab2 plays the cases of the second review. It starts the tier's own programs as separate
// processes on loopback addresses, disturbs them as a case says, and judges what its stand-ins saw.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNotRun = 2 // the case could not run
)

// maxDuration ends a case that takes too long.
const maxDuration = 115 * time.Second

// cases are the cases by the number of their folder. Each reports whether its rule was broken.
var cases = map[string]func(ctx context.Context, l *lab) (broken bool, err error){}

func main() { os.Exit(run()) }

func run() int {
	number := flag.String("case", "", "number of the case")
	folder := flag.String("folder", "", "folder for record.txt")
	programs := flag.String("programs", "target", "folder of the tier's programs")
	flag.Parse()
	play, known := cases[*number]
	if !known {
		fmt.Fprintln(os.Stderr, "lab2: unknown case", *number)
		return exitNotRun
	}
	record, err := os.Create(filepath.Join(*folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab2:", err)
		return exitNotRun
	}
	defer record.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	l, err := newLab(record, *programs, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab2:", err)
		return exitNotRun
	}
	defer l.close()
	broken, err := play(ctx, l)
	switch {
	case err != nil:
		l.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		l.note("verdict: the rule was BROKEN")
		return exitBroken
	}
	l.note("verdict: the rule held")
	return exitHeld
}
