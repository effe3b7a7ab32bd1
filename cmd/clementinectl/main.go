package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"clementinelink.example/clementinelink/internal/submit"
)

// The exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitInput    = 2
	exitConflict = 3
)

// exitError is an error with the program's exit code.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the wrapped error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

func inputError(err error) error {
	return &exitError{
		code: exitInput,
		err:  err,
	}
}

// settings holds the options of all commands. Its fields are exported for
// go-flags.
type settings struct {
	Address []string      `long:"address" env:"CLEMENTINE_ADDRESS" env-delim:"," value-name:"HOST:PORT" description:"operator address of an entry VM; several are tried in turn"`
	Output  string        `long:"output" env:"CLEMENTINE_OUTPUT" choice:"text" choice:"json" default:"text" description:"output format"`
	Timeout time.Duration `long:"timeout" env:"CLEMENTINE_TIMEOUT" default:"30s" description:"time for all attempts"`
	Version func()        `long:"version" description:"print the version and exit"`
}

// program holds the state shared by the commands.
type program struct {
	settings settings
	ctx      context.Context
	stdout   io.Writer
	stderr   io.Writer
	now      func() time.Time
	// addressIndex counts the attempts to select the next address.
	addressIndex int
}

// errVersion prevents the command from running after --version.
var errVersion = errors.New("version printed")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes the command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	p := &program{
		ctx:    ctx,
		stdout: stdout,
		stderr: stderr,
		now:    time.Now,
	}
	versionPrinted := false
	p.settings.Version = func() {
		versionPrinted = true
		fmt.Fprintln(stdout, version())
	}
	parser := flags.NewNamedParser("clementinectl", flags.HelpFlag|flags.PassDoubleDash)
	if err := p.register(parser); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	parser.CommandHandler = func(c flags.Commander, rest []string) error {
		if versionPrinted {
			return errVersion
		}
		return c.Execute(rest)
	}
	_, err := parser.ParseArgs(args)
	if versionPrinted {
		return exitOK
	}
	return p.exit(err)
}

// exit prints an error and returns the exit code for it.
func (p *program) exit(err error) int {
	var flagsErr *flags.Error
	var exitErr *exitError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Fprintln(p.stdout, flagsErr.Message)
		return exitOK
	case errors.As(err, &flagsErr):
		fmt.Fprintln(p.stderr, flagsErr.Message)
		return exitInput
	case errors.As(err, &exitErr):
		fmt.Fprintln(p.stderr, exitErr)
		return exitErr.code
	default:
		fmt.Fprintln(p.stderr, err)
		return exitFailed
	}
}

func (p *program) register(parser *flags.Parser) error {
	if _, err := parser.AddGroup("Settings", "", &p.settings); err != nil {
		return err
	}
	for _, c := range []struct {
		name  string
		short string
		data  any
	}{
		{
			name:  "check",
			short: "Check a declaration for faults",
			data: &checkCommand{
				program: p,
			},
		},
		{
			name:  "diff",
			short: "Compare a declaration with the one in force or with another file",
			data: &diffCommand{
				program: p,
			},
		},
		{
			name:  "apply",
			short: "Submit a declaration",
			data: &applyCommand{
				program: p,
			},
		},
		{
			name:  "status",
			short: "Show the revision and moves in force",
			data: &statusCommand{
				program: p,
			},
		},
		{
			name:  "history",
			short: "Show accepted changes, newest first",
			data: &historyCommand{
				program: p,
			},
		},
		{
			name:  "watch",
			short: "Show the status whenever it changes",
			data: &watchCommand{
				program: p,
			},
		},
		{
			name:  "burn",
			short: "Show how much of the service levels is used up, from all VMs",
			data: &burnCommand{
				program: p,
			},
		},
		{
			name:  "explain",
			short: "Show the course of a request from the logs of the VMs",
			data: &explainCommand{
				program: p,
			},
		},
		{
			name:  "upstreams",
			short: "Show the upstreams as one VM sees them",
			data: &upstreamsCommand{
				program: p,
			},
		},
		{
			name:  "where",
			short: "Show where a VM would send a request, without sending it",
			data: &whereCommand{
				program: p,
			},
		},
	} {
		if _, err := parser.AddCommand(c.name, c.short, "", c.data); err != nil {
			return err
		}
	}
	return nil
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "clementinectl (unknown version)"
	}
	return "clementinectl " + info.Main.Version
}

// nextAddress returns the addresses in turn. Without any address, its error
// ends the program with exit code 2.
func (p *program) nextAddress() (string, error) {
	if len(p.settings.Address) == 0 {
		return "", inputError(errors.New("no --address and no CLEMENTINE_ADDRESS"))
	}
	address := p.settings.Address[p.addressIndex%len(p.settings.Address)]
	p.addressIndex++
	return address, nil
}

// retryPause is the time between attempts. It prevents a VM that is restarting
// from being flooded with requests.
const retryPause = 300 * time.Millisecond

// withClient calls f with a client of each address in turn, as tryAddresses
// does.
func (p *program) withClient(f func(ctx context.Context, c *submit.Client) error) error {
	return p.tryAddresses(func(ctx context.Context, address string) error {
		return f(ctx, submit.NewClient(address, http.DefaultClient))
	})
}

// tryAddresses calls f with the addresses in turn until it succeeds or the
// timeout expires. It then returns the error of the last call that the timeout
// didn't interrupt, because that one has the cause.
func (p *program) tryAddresses(f func(ctx context.Context, address string) error) error {
	ctx, cancel := context.WithTimeout(p.ctx, p.settings.Timeout)
	defer cancel()
	var cause error
	for {
		address, err := p.nextAddress()
		if err != nil {
			return err
		}
		if err = f(ctx, address); err == nil {
			return nil
		}
		if cause == nil || ctx.Err() == nil {
			cause = err
		}
		select {
		case <-ctx.Done():
			return cause
		case <-time.After(retryPause):
		}
	}
}
