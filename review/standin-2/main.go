// Command standin-2 plays the clients, the targets and the platform for the scripts of a
// review, starts entries as processes, and judges one rule by what the clients and the
// targets have seen.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	program := flag.String("program", "target/magnolialedge", "path of the entry's program")
	record := flag.String("record", "record.txt", "file for what was sent, run and answered")
	crash := flag.String("crash", "process", "how a target crashes: its process ends, or its machine goes dark")
	smuggled := flag.Bool("smuggled", false, "whether a client hides a request in the body of another one, instead of the crashes")
	twin := flag.Bool("twin", false, "whether another caller sends the same request, which then crashes nothing")
	seconds := flag.Int("seconds", 60, "how long the request comes again")
	trouble := flag.Bool("trouble", true, "whether the request crashes targets, or is hidden")
	flag.Parse()
	code, err := run(config{program: *program, recordPath: *record, isDark: *crash == "dark", isSmuggled: *smuggled, hasTwin: *twin, seconds: *seconds, hasTrouble: *trouble})
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(exitNotRun)
	}
	os.Exit(code)
}
