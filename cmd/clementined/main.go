package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/node"
)

// version is the program's version.
const version = "0.1.0"

// The exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// finishTimeout limits the wait for running requests at a shutdown. It is
// longer than the longest deadline of a contract in use.
const finishTimeout = 15 * time.Minute

func main() { os.Exit(run(os.Args[1:])) }

// run runs the VM until a signal and returns its exit code.
func run(args []string) int {
	var s node.Settings
	var o struct {
		Version bool `long:"version" description:"print the version and exit"`
	}
	p := flags.NewParser(&s, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Program", "", &o); err != nil {
		fmt.Fprintln(os.Stderr, "clementined:", err)
		return exitFailed
	}
	rest, err := p.ParseArgs(args)
	switch {
	case o.Version:
		fmt.Println("clementined", version)
		return exitOK
	case flags.WroteHelp(err):
		fmt.Println(err)
		return exitOK
	case err != nil:
		fmt.Fprintln(os.Stderr, "clementined:", err)
		return exitUsage
	case len(rest) > 0:
		fmt.Fprintf(os.Stderr, "clementined: unexpected argument %q\n", rest[0])
		return exitUsage
	}
	if err := s.Check(); err != nil {
		fmt.Fprintln(os.Stderr, "clementined:", err)
		return exitUsage
	}
	return serve(&s)
}

func serve(s *node.Settings) int {
	log := logger(s)
	n, err := node.New(s, log)
	if err != nil {
		log.Error().Err(err).Msg("node: Wiring failed.")
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := n.Start(context.WithoutCancel(ctx)); err != nil {
		log.Error().Err(err).Msg("node: The start failed.")
		return exitFailed
	}
	<-ctx.Done()
	stop()
	limited, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	if err := n.Shutdown(limited); err != nil {
		log.Error().Err(err).Msg("node: Requests were cut at the shutdown.")
		return exitFailed
	}
	return exitOK
}

func logger(s *node.Settings) zerolog.Logger {
	level, _ := zerolog.ParseLevel(s.Level)
	var l zerolog.Logger
	if s.Format == "text" {
		l = zerolog.New(zerolog.ConsoleWriter{
			Out:     os.Stderr,
			NoColor: true,
		})
	} else {
		l = zerolog.New(os.Stderr)
	}
	return l.Level(level).With().Timestamp().Str("vm", s.Name).Logger()
}
