// Command stand2 holds the stand-ins and the checks of the scripts in review/6 to
// review/10.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) < 2 {
		os.Exit(exitNotRun)
	}
	if os.Args[1] == "worker" {
		if err := runWorker(os.Args[2:], os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		os.Exit(exitNotRun)
	}
	if os.Args[1] == "other" {
		if err := runOther(os.Args[2], os.Args[3], os.Args[4]); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// runCase runs a case, writes its record and returns the exit code.
func runCase(which, record string, trouble bool) int {
	run, ok := cases[which]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", which)
		return exitNotRun
	}
	f, err := newFleet(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	broken, err := run(f, trouble)
	if err != nil {
		f.note("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	f.note("broken: %d", len(broken))
	fmt.Println("times that the rule was broken:", len(broken))
	for i, b := range broken {
		f.note("broken: %s", b)
		if i < 5 {
			fmt.Println(" ", b)
		}
	}
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}
