//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime bounds a script; a case ends by itself well before.
const maxRunTime = 115 * time.Second

// lab is one run of a case.
type lab struct {
	ctx       context.Context
	folder    string
	isTrouble bool
	record    *record
	fleet     *fleet
}

// cases maps the names of the cases to their functions, which return an error only if the case could not run.
var cases = map[string]func(lab *lab) error{
	"late-copy":       runLateCopy,
	"resume-error":    runResumeError,
	"resume-id":       runResumeID,
	"unstamped":       runUnstamped,
	"ran-and-refused": runRanAndRefused,
	"lost-disk":       runLostDisk,
	"left-again":      runLeftAgain,
	"silent-stop":     runSilentStop,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-lab CASE FOLDER")
		os.Exit(exitNotRun)
	}
	code, err := run(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
	}
	os.Exit(code)
}

// run runs a case and returns the exit code of the script.
func run(name, caseFolder string) (code int, err error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRunTime)
	defer cancel()
	folder, err := os.MkdirTemp("", "review-lab-")
	if err != nil {
		return exitNotRun, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	record, err := newRecord(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		return exitNotRun, err
	}
	defer func() { err = errors.Join(err, record.close()) }()
	lab := &lab{ctx: ctx, folder: folder, isTrouble: os.Getenv("TROUBLE") != "0", record: record}
	record.note("case %s, trouble %v", name, lab.isTrouble)
	err = cases[name](lab)
	if lab.fleet != nil {
		lab.fleet.stop()
	}
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	if err != nil {
		return exitNotRun, err
	}
	return record.conclude(), nil
}
