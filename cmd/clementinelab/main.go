package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// program holds the state shared by the subcommands.
type program struct {
	ctx context.Context
	// out receives results and addresses.
	out io.Writer
	log zerolog.Logger
}

// run runs the subcommand given in args and returns the exit code.
func run(ctx context.Context, args []string, out, logs io.Writer) int {
	s := &program{
		ctx: ctx,
		out: out,
		log: zerolog.New(logs).With().Timestamp().Logger(),
	}
	parser := flags.NewNamedParser("clementinelab", flags.HelpFlag|flags.PassDoubleDash)
	if err := s.addCommands(parser); err != nil {
		s.log.Error().Err(err).Msg("lab: Bad command table.")
		return 1
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return s.reportError(err)
	}
	return 0
}

// addCommands registers the subcommands.
func (s *program) addCommands(parser *flags.Parser) error {
	if _, err := parser.AddCommand("engine", "Run one simulated model engine.",
		"Prints the engine's address and runs until a signal.", &engineCommand{
			program: s,
		}); err != nil {
		return errors.Wrap(err, "engine")
	}
	if _, err := parser.AddCommand("plain", "Run one simulated plain service.",
		"Prints the service's address and runs until a signal.", &plainCommand{
			program: s,
		}); err != nil {
		return errors.Wrap(err, "plain")
	}
	for name, c := range s.platformCommands() {
		if _, err := parser.AddCommand(name, "Run one simulated "+c.kind+".",
			"Prints the address and runs until a signal.", c); err != nil {
			return errors.Wrap(err, name)
		}
	}
	if _, err := parser.AddCommand("demo", "Kill engines in the middle of responses.",
		"Brings up a deployment on loopback, kills, hangs and resets engines, and checks that each response is whole.", &demoCommand{
			program: s,
		}); err != nil {
		return errors.Wrap(err, "demo")
	}
	if _, err := parser.AddCommand("resume", "Measure resumes under faults.",
		"Runs a deployment of today's size under each fault and prints resume latency, extra tokens and verdicts, with the baseline policy beside it.", &resumeCommand{
			program: s,
		}); err != nil {
		return errors.Wrap(err, "resume")
	}
	if _, err := parser.AddCommand("storm", "Run responses under random faults.",
		"Runs a small deployment under random faults of all kinds, entry VMs included, and prints the verdicts. It fails when a token is missing, repeated or mixed.", &stormCommand{
			program: s,
		}); err != nil {
		return errors.Wrap(err, "storm")
	}
	if _, err := parser.AddCommand("orders", "Run bookings under random faults.",
		"Runs bookings and lookups under random faults of entry VMs, links, plain services and store. It fails when a booking ran twice or an outcome was false.", &ordersCommand{
			program: s,
		}); err != nil {
		return errors.Wrap(err, "orders")
	}
	if _, err := parser.AddCommand("capacity", "Measure what each part costs by size.",
		"Measures each part at four sizes or more, fits a line and prints the cost at full size. The figures behind docs/CAPACITY.md.", &capacityCommand{
			program: s,
		}); err != nil {
		return errors.Wrap(err, "capacity")
	}
	if _, err := parser.AddCommand("entry", "Run one entry VM for the capacity command.",
		"Prints what the process uses at the start and after each line of input, as JSON, and ends with its input.", &entryCommand{
			program: s,
		}); err != nil {
		return errors.Wrap(err, "entry")
	}
	if _, err := parser.AddCommand("drill", "Run one response against each fault.",
		"Strikes before the first token, in the middle and before the last token of a response, and prints the verdict and the longest interruption.", &drillCommand{
			program: s,
		}); err != nil {
		return errors.Wrap(err, "drill")
	}
	if _, err := parser.AddCommand("load", "Measure goodput and fairness under overload.",
		"Runs a small deployment below, at and over its capacity with one large and several small workspaces, and prints goodput, refusals and shares, with first come first served beside it.", &loadCommand{
			program: s,
		}); err != nil {
		return errors.Wrap(err, "load")
	}
	return nil
}

// reportError prints a help text or logs an error and returns the exit code.
func (s *program) reportError(err error) int {
	var f *flags.Error
	if errors.As(err, &f) && f.Type == flags.ErrHelp {
		if _, err := io.WriteString(s.out, f.Message+"\n"); err != nil {
			return 1
		}
		return 0
	}
	s.log.Error().Err(err).Msg("lab: Command failed.")
	if f != nil {
		return 2
	}
	return 1
}
