package main

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/hedge"
	"clementinelink.example/clementinelink/internal/logger"
	"clementinelink.example/clementinelink/platform"
)

// version is the program's version.
const version = "0.2.0"

// minBound is the smallest limit in bytes on what a worker sends.
const minBound = 4 << 10

// minMaxRest is the smallest limit on the rest that a worker asks for.
const minMaxRest = time.Second

// The exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

type options struct {
	Config     string        `long:"config" env:"CLEMENTINELINK_CONFIG" required:"true" description:"path of the platform's settings file"`
	Metrics    int           `long:"metrics" env:"CLEMENTINE_METRICS" default:"9464" description:"port for metrics; 0 serves them only beside the readiness check"`
	Level      string        `long:"level" env:"CLEMENTINE_LEVEL" default:"info" description:"least severe log level: debug, info, warn or error"`
	Collect    int           `long:"collect" env:"CLEMENTINE_COLLECT" default:"25" description:"growth of the heap in percent after which garbage is collected"`
	MaxHead    int64         `long:"max-head" env:"CLEMENTINE_MAX_HEAD" default:"65536" description:"largest head of a worker's answer in bytes"`
	MaxAnswer  int64         `long:"max-answer" env:"CLEMENTINE_MAX_ANSWER" default:"8388608" description:"largest worker's answer in bytes that is not a stream"`
	MaxEvent   int64         `long:"max-event" env:"CLEMENTINE_MAX_EVENT" default:"262144" description:"largest event of a worker's stream in bytes"`
	MaxHeld    int64         `long:"max-held" env:"CLEMENTINE_MAX_HELD" default:"33554432" description:"bytes that all incomplete answers of workers may take together"`
	MaxRest    time.Duration `long:"max-rest" env:"CLEMENTINE_MAX_REST" default:"10m" description:"longest rest that a worker may ask for with Retry-After"`
	Control    float64       `long:"control-share" env:"CLEMENTINE_CONTROL_SHARE" default:"0.9" description:"part of the VM's link that changes of the store may take on their way to other VMs"`
	HedgeShare string        `long:"hedge-share" env:"CLEMENTINE_HEDGE_SHARE" description:"hedges (second attempts beside slow ones) allowed per first attempt of a service in any 10 s, from 0 to 1; without it and --hedge-burst, only the retry budget limits them"`
	HedgeBurst string        `long:"hedge-burst" env:"CLEMENTINE_HEDGE_BURST" description:"hedges that all VMs together may add to that in any 10 s; 0 for both turns hedging off"`
	Version    bool          `long:"version" description:"print the version and exit"`
}

func main() { os.Exit(run(os.Args[1:])) }

// run runs the VM until a signal and returns its exit code.
func run(args []string) int {
	var o options
	p := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash)
	rest, err := p.ParseArgs(args)
	switch {
	case o.Version:
		fmt.Println("clementinedge", version)
		return exitOK
	case flags.WroteHelp(err):
		fmt.Println(err)
		return exitOK
	case err != nil:
		return usageError(err)
	case len(rest) > 0:
		return usageError(fmt.Errorf("unexpected argument %q", rest[0]))
	}
	level, err := zerolog.ParseLevel(o.Level)
	if err != nil {
		return usageError(fmt.Errorf("--level: %q is not a level", o.Level))
	}
	if o.Collect < 1 {
		return usageError(fmt.Errorf("--collect: %d is not a percentage of 1 or more", o.Collect))
	}
	for name, n := range map[string]int64{
		"max-head":   o.MaxHead,
		"max-answer": o.MaxAnswer,
		"max-event":  o.MaxEvent,
		"max-held":   o.MaxHeld,
	} {
		if n < minBound {
			return usageError(fmt.Errorf("--%s: %d is less than %d bytes", name, n, minBound))
		}
	}
	if !(o.Control > 0 && o.Control <= 1) {
		return usageError(fmt.Errorf("--control-share: %g is not above 0 and at most 1", o.Control))
	}
	if o.MaxRest < minMaxRest {
		return usageError(fmt.Errorf("--max-rest: %s is less than %s", o.MaxRest, minMaxRest))
	}
	hedges, err := hedgeLimit(&o)
	if err != nil {
		return usageError(err)
	}
	// The platform charges twenty times as much for the peak of memory as for
	// the processor time that the collection takes.
	debug.SetGCPercent(o.Collect)
	s, err := platform.ReadSettings(o.Config)
	if err != nil {
		return usageError(err)
	}
	log := logger.New(os.Stdout, level, s.Node())
	defer func() { _ = log.Close() }()
	return serve(s, &o, hedges, log)
}

// hedgeLimit returns the limit of hedges. A setting that is not given is 0 if the other one
// is.
func hedgeLimit(o *options) (hedge.Limit, error) {
	if o.HedgeShare == "" && o.HedgeBurst == "" {
		return hedge.Limit{}, nil
	}
	share, err := strconv.ParseFloat(cmp.Or(o.HedgeShare, "0"), 64)
	if err != nil || !(share >= 0 && share <= 1) {
		return hedge.Limit{}, fmt.Errorf("--hedge-share: %q is not a number from 0 to 1", o.HedgeShare)
	}
	burst, err := strconv.Atoi(cmp.Or(o.HedgeBurst, "0"))
	if err != nil || burst < 0 {
		return hedge.Limit{}, fmt.Errorf("--hedge-burst: %q is not a whole number of 0 or more", o.HedgeBurst)
	}
	return hedge.NewLimit(share, burst), nil
}

func usageError(err error) int {
	fmt.Fprintln(os.Stderr, "clementinedge:", err)
	return exitUsage
}

func serve(s *platform.Settings, o *options, hedges hedge.Limit, log *logger.Log) int {
	metrics := ""
	if host, _, err := net.SplitHostPort(s.Ready()); err == nil && o.Metrics > 0 {
		metrics = net.JoinHostPort(host, strconv.Itoa(o.Metrics))
	}
	bounds := platform.Bounds{
		Head:   o.MaxHead,
		Answer: o.MaxAnswer,
		Event:  o.MaxEvent,
		Held:   o.MaxHeld,
		Rest:   o.MaxRest,
	}
	vm := platform.NewVM(s, metrics, bounds, hedges, log.Logger).WithControlShare(o.Control)
	log.RegisterMetrics(vm.Metrics())
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	if err := vm.Start(context.Background(), platform.NewIngress(vm)); err != nil {
		log.Error().Err(err).Msg("edge: The start failed.")
		return exitFailed
	}
	for sig := range signals {
		if sig != syscall.SIGHUP {
			break
		}
		checkSettings(o.Config, log.Logger)
	}
	limited, cancel := context.WithTimeout(context.Background(), s.Grace()+time.Second)
	defer cancel()
	if err := vm.Shutdown(limited); err != nil {
		log.Error().Err(err).Msg("edge: Requests were cut at the shutdown.")
		return exitFailed
	}
	return exitOK
}

// checkSettings checks a changed settings file and logs the result. The
// settings name the machine and its addresses, so they take effect only at the
// next start.
func checkSettings(path string, log zerolog.Logger) {
	if _, err := platform.ReadSettings(path); err != nil {
		log.Error().Err(err).Msg("edge: The changed settings are wrong and stay unused.")
		return
	}
	log.Info().Str("path", path).Msg("edge: The settings were read again; they take effect at the next start.")
}
