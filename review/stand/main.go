//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario plays a case; with trouble it causes the disruption. It returns what breaks the rule; an error means that the case could not run.
type scenario func(fleet *fleet, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "server" {
		runServer(os.Args[2])
		return
	}
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER, where FOLDER receives record.txt")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs a case and returns its exit code.
func play(name, folder string) int {
	log, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer log.close()
	trouble := os.Getenv("TROUBLE") != "0"
	log.add("case", "%s trouble=%v", name, trouble)
	fleet, err := newFleet(log)
	if err != nil {
		log.add("failed", "%v", err)
		return exitFailed
	}
	defer fleet.stop()
	began := time.Now()
	broken, err := scenarios[name](fleet, trouble)
	log.add("case", "took %v", time.Since(began).Round(time.Millisecond))
	for _, text := range broken {
		log.add("broken", "%s", text)
		fmt.Println("broken:", text)
	}
	switch {
	case err != nil:
		log.add("failed", "%v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitFailed
	case len(broken) > 0:
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}
