// Command trial plays the cases of this folder that are scripts. It starts entries as
// separate processes, and plays the platform's store, targets and clients for them.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// errBroken means that the rule of a case was broken.
var errBroken = errors.New("the rule is broken")

// cases holds the cases by the name that run.sh passes.
var cases = map[string]func(*trial) error{
	"pipelined-stop": runPipelinedStop,
	"late-accept":    runLateAccept,
	"endless-error":  runEndlessError,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play runs one case, which writes its record to a folder, and returns its exit code.
func play(run func(*trial) error, folder string) int {
	t, err := newTrial(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	err = run(t)
	t.close()
	switch {
	case errors.Is(err, errBroken):
		t.note("BROKEN: %v", err)
		return exitBroken
	case err != nil:
		t.note("the case could not run: %v", err)
		return exitFailed
	}
	t.note("the rule held")
	return exitHeld
}

// hasTrouble reports whether the disruption of the case is played.
func hasTrouble() bool {
	return os.Getenv("TROUBLE") != "0"
}

// broken returns an error that says how the rule was broken.
func broken(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errBroken, fmt.Sprintf(format, args...))
}

// sleepUntil waits until d has passed since start.
func sleepUntil(start time.Time, d time.Duration) {
	time.Sleep(time.Until(start.Add(d)))
}
