//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// caseTime is the longest time that a case may take.
const caseTime = 110 * time.Second

// verdict is the result of a case: what broke the rule, or "" if it held.
type verdict struct{ broken string }

// play is a case; isTroubled is false if it is to run without its disruption.
type play func(ctx context.Context, rec *record, isTroubled bool) (verdict, error)

var plays = map[string]play{
	"two-versions":     playTwoVersions,
	"same-id":          playSameID,
	"missed-departure": playMissedDeparture,
	"early-end":        playEarlyEnd,
	"handover":         playHandover,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "serve" {
		os.Exit(serveCommand(os.Args[2]))
	}
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2]))
}

func run(play play, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	ctx, cancel := context.WithTimeout(context.Background(), caseTime)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	isTroubled := os.Getenv("TROUBLE") != "0"
	rec.line("case", "trouble %v", isTroubled)
	result, err := play(ctx, rec, isTroubled)
	if err = errors.Join(err, ctx.Err()); err != nil {
		rec.line("verdict", "could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	}
	if result.broken != "" {
		rec.line("verdict", "BROKEN: %s", result.broken)
		fmt.Println("broken:", result.broken)
		return exitBroken
	}
	rec.line("verdict", "held")
	fmt.Println("held")
	return exitHeld
}
