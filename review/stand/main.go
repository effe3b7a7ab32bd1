// Command stand plays a script of the review: it starts the program, stand-ins for
// the platform's store and the workers, and clients. It exits with 1 if the rule of
// the script was broken, with 0 if it held and with 2 if the script couldn't run.
// With TROUBLE=0 in the environment it plays the script without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime bounds a script.
const maxTime = 110 * time.Second

// scripts holds the scripts by name. Each reports whether its rule was broken.
var scripts = map[string]func(*play) (bool, error){
	"flood":  playFlood,
	"keys":   playKeys,
	"reuse":  playReuse,
	"upload": playUpload,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || scripts[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand SCRIPT RECORD")
		return 2
	}
	p, err := newPlay(args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		return 2
	}
	defer p.end()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stopped:
		case <-time.After(maxTime):
		}
		p.record.add("the script was stopped")
		p.end()
		os.Exit(2)
	}()
	broken, err := scripts[args[0]](p)
	switch {
	case err != nil:
		p.record.add("the script couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "stand:", err)
		return 2
	case broken:
		p.record.add("the rule was broken")
		return 1
	}
	p.record.add("the rule held")
	return 0
}
