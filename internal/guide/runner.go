package guide

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// commandTimeout limits how long one command may run.
	commandTimeout = time.Minute
	// retryInterval is the pause between two runs of a repeated command, and
	// between two reads of a starting VM's log.
	retryInterval = 100 * time.Millisecond
	// startTimeout limits how long a VM that the page starts may take to log its
	// addresses.
	startTimeout = 20 * time.Second
)

// pageAddressPattern matches an address as the pages write it. One that is left
// after the translation has no counterpart on loopback.
var pageAddressPattern = regexp.MustCompile(`\b10\.\d+\.\d+\.\d+`)

// Runner replays one page. Pages write addresses in 10.0.0.0/8. The Runner
// translates them to the deployment's loopback addresses in commands, and back
// in their output. It is not safe for concurrent use.
type Runner struct {
	// dir is where files are written and commands run.
	dir string
	// programs is the directory with the compiled programs.
	programs string
	// module is the root of the Go module, the working directory of "go run".
	module string
	// runDirective carries out a directive other than "repeat".
	runDirective func(words string) error
	// addresses returns a new map from page addresses to loopback addresses.
	addresses func() map[string]string
	// env holds additional environment variables for commands, as NAME=VALUE with
	// page addresses.
	env []string
	// startedAddresses maps the page addresses of a VM that the page started to
	// its loopback addresses.
	startedAddresses map[string]string
	// exitCode is the exit code of the last command. exitCodeShown is false from a
	// command's failure until the page shows the exit code with "echo $?". Any
	// other command in between, or the end of the page, is an error.
	exitCode      int
	exitCodeShown bool
	// retryFor is how long the next command is repeated until its output matches.
	retryFor time.Duration
	// background is the process that the page started with "&", or nil.
	background *exec.Cmd
}

// NewRunner returns a runner that writes files and runs commands in the
// directory dir. programs is the directory with the compiled programs and module
// the root of the Go module. runDirective carries out a directive, and addresses
// returns a new map from page addresses to loopback addresses.
func NewRunner(dir, programs, module string, runDirective func(words string) error, addresses func() map[string]string) *Runner {
	return &Runner{
		dir:              dir,
		programs:         programs,
		module:           module,
		runDirective:     runDirective,
		addresses:        addresses,
		startedAddresses: make(map[string]string),
		exitCodeShown:    true,
	}
}

// WithEnv adds a variable to the environment of commands and returns r. Page
// addresses in the value are translated before each command.
func (r *Runner) WithEnv(name, value string) *Runner {
	r.env = append(r.env, name+"="+value)
	return r
}

// Run replays the page and stops at the first step that fails or whose output
// differs from the page. The error begins with the line number of that step. A
// background process that is still running at the end is killed.
func (r *Runner) Run(page string) error {
	steps, err := Parse(page)
	if err != nil {
		return err
	}
	defer r.killBackground()
	for i := range steps {
		if err := r.runStep(&steps[i]); err != nil {
			return errors.Wrapf(err, "line %d: %s", steps[i].Line(), steps[i].Text())
		}
	}
	if !r.exitCodeShown {
		return errors.Newf("the last command fails with exit code %d, which the page does not show", r.exitCode)
	}
	return nil
}

// killBackground kills the background process, if any, and waits for it.
func (r *Runner) killBackground() {
	if r.background != nil {
		_ = r.background.Process.Kill()
		_ = r.background.Wait()
	}
}

// runStep executes a step. It repeats a command after a "repeat" directive.
func (r *Runner) runStep(s *Step) error {
	switch s.Kind() {
	case File:
		return os.WriteFile(filepath.Join(r.dir, s.Text()), []byte(strings.Join(s.Body(), "\n")+"\n"), 0o600)
	case Directive:
		if text, ok := strings.CutPrefix(s.Text(), "repeat "); ok {
			d, err := time.ParseDuration(text)
			r.retryFor = d
			return err
		}
		return r.runDirective(s.Text())
	}
	if s.Text() != "echo $?" && !r.exitCodeShown {
		return errors.Newf("the previous command fails with exit code %d, which the page does not show", r.exitCode)
	}
	until := time.Now().Add(r.retryFor)
	r.retryFor = 0
	for {
		out, err := r.runCommand(s.Text())
		if err != nil {
			return err
		}
		got := splitLines(out)
		if Match(s.Body(), got) {
			return nil
		}
		if time.Now().After(until) {
			return errors.Newf("the output differs\nwant:\n  %s\ngot:\n  %s", strings.Join(s.Body(), "\n  "), strings.Join(got, "\n  "))
		}
		time.Sleep(retryInterval)
	}
}

// splitLines splits output into lines. Empty output has no lines.
func splitLines(out string) []string {
	if out = strings.TrimSuffix(out, "\n"); out == "" {
		return nil
	}
	return strings.Split(out, "\n")
}

// runCommand runs a command line and returns its output with loopback addresses
// translated to page addresses.
func (r *Runner) runCommand(text string) (string, error) {
	l, err := parseCommandLine(text)
	if err != nil {
		return "", err
	}
	for i, w := range l.words {
		l.words[i] = r.toLoopback(w)
	}
	if text != "echo $?" {
		r.exitCode, r.exitCodeShown = 0, true
	}
	var out bytes.Buffer
	if err := r.execute(l, &out); err != nil {
		return "", err
	}
	return r.toPage(out.String()), nil
}

// execute runs a program, or the implementation in this package of echo, cat,
// kill, wait and curl.
func (r *Runner) execute(l *commandLine, out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	for _, w := range l.words {
		if pageAddressPattern.MatchString(w) {
			return errors.Newf("%s is not mapped to a loopback address", w)
		}
	}
	switch l.words[0] {
	case "echo":
		r.exitCodeShown = true
		_, err := fmt.Fprintln(out, r.exitCode)
		return err
	case "cat":
		data, err := os.ReadFile(filepath.Join(r.dir, l.words[1]))
		if err == nil {
			_, err = out.Write(data)
		}
		return err
	case "kill":
		if r.background == nil {
			return errors.New("kill: no process was started")
		}
		return r.background.Process.Signal(syscall.SIGTERM)
	case "wait":
		return r.waitForBackground()
	case "curl":
		if err := curl(ctx, l.words[1:], out); err != nil {
			// curl exits with code 7 when the connection is refused.
			r.exitCode, r.exitCodeShown = 7, false
		}
		return nil
	case "go":
		if len(l.words) != 3 || l.words[1] != "run" {
			return errors.New("go: only \"go run FILE\" is supported")
		}
		return r.runSource(ctx, l, out)
	case "clementinectl", "clementined", "clementinedge":
		cmd := exec.Command(filepath.Join(r.programs, l.words[0]), l.words[1:]...)
		cmd.Dir = r.dir
		if l.background {
			return r.startVM(cmd, l)
		}
		cmd = exec.CommandContext(ctx, cmd.Path, l.words[1:]...)
		cmd.Dir = r.dir
		return r.runProgram(cmd, l, out)
	}
	return errors.Newf("unknown program %s", l.words[0])
}

// runSource builds and runs a Go source file. Building it apart keeps what the
// compiler prints, which depends on GOFLAGS, out of the program's output.
func (r *Runner) runSource(ctx context.Context, l *commandLine, out io.Writer) error {
	source := filepath.Join(r.dir, l.words[2])
	program := strings.TrimSuffix(source, ".go")
	build := exec.CommandContext(ctx, "go", "build", "-o", program, source)
	build.Dir = r.module
	build.Env = r.environment()
	if printed, err := build.CombinedOutput(); err != nil {
		return errors.Wrapf(err, "go build: %s", printed)
	}
	cmd := exec.CommandContext(ctx, program)
	cmd.Dir = r.module
	return r.runProgram(cmd, l, out)
}

// runProgram runs a program and waits for it. Output that is not redirected to
// a file goes to out.
func (r *Runner) runProgram(cmd *exec.Cmd, l *commandLine, out io.Writer) error {
	cmd.Env = r.environment()
	cmd.Stdout = out
	cmd.Stderr = out
	if l.stdout != "" {
		f, err := os.Create(filepath.Join(r.dir, l.stdout))
		if err != nil {
			return err
		}
		defer f.Close()
		cmd.Stdout = f
	}
	return r.recordExit(cmd.Run())
}

// recordExit records the exit code from err, the result of waiting for a
// program. It returns errors other than a failed exit.
func (r *Runner) recordExit(err error) error {
	var e *exec.ExitError
	if errors.As(err, &e) {
		r.exitCode, r.exitCodeShown = e.ExitCode(), false
		return nil
	}
	return err
}

// environment returns the environment of a command.
func (r *Runner) environment() []string {
	env := os.Environ()
	for _, v := range r.env {
		env = append(env, r.toLoopback(v))
	}
	return env
}

// startVM starts an entry VM in the background and reads its addresses from its
// log.
func (r *Runner) startVM(cmd *exec.Cmd, l *commandLine) error {
	if r.background != nil || l.stderr == "" {
		return errors.New("a page may run one background process, with its log redirected by 2>FILE")
	}
	path := filepath.Join(r.dir, l.stderr)
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	cmd.Stderr = f
	cmd.Env = r.environment()
	if err := cmd.Start(); err != nil {
		return err
	}
	r.background = cmd
	listening := regexp.MustCompile(`"callers":"([^"]+)","operators":"([^"]+)","peers":"([^"]+)"`)
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(retryInterval) {
		log, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if m := listening.FindStringSubmatch(string(log)); m != nil {
			for i, port := range []string{"8080", "8081", "8082"} {
				r.startedAddresses[startedHost+":"+port] = m[i+1]
			}
			return nil
		}
	}
	return errors.New("the VM has not logged its addresses in time")
}

// startedHost is the page address of the VM that a page may start.
const startedHost = "10.0.1.2"

// waitForBackground waits until the background process exits and kills it after
// commandTimeout.
func (r *Runner) waitForBackground() error {
	if r.background == nil {
		return errors.New("wait: no process was started")
	}
	cmd := r.background
	r.background = nil
	timer := time.AfterFunc(commandTimeout, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	return r.recordExit(cmd.Wait())
}

// toLoopback translates page addresses to loopback addresses. Those of a VM that
// is not started yet become port 0, so that the VM listens on free ports.
func (r *Runner) toLoopback(text string) string {
	for pageAddr, loopbackAddr := range r.allAddresses() {
		text = replaceAddress(text, pageAddr, loopbackAddr)
	}
	for port := 8080; port <= 8082; port++ {
		text = replaceAddress(text, startedHost+":"+strconv.Itoa(port), "127.0.0.1:0")
	}
	return text
}

// toPage translates loopback addresses to page addresses.
func (r *Runner) toPage(text string) string {
	for pageAddr, loopbackAddr := range r.allAddresses() {
		text = replaceAddress(text, loopbackAddr, pageAddr)
	}
	return text
}

// allAddresses returns the addresses of the deployment and of the VM that the
// page started.
func (r *Runner) allAddresses() map[string]string {
	addresses := r.addresses()
	for pageAddr, loopbackAddr := range r.startedAddresses {
		addresses[pageAddr] = loopbackAddr
	}
	return addresses
}

// replaceAddress replaces the address from by to, but not where from is only the
// beginning of an address with a longer port number.
func replaceAddress(text, from, to string) string {
	return regexp.MustCompile(regexp.QuoteMeta(from)+`\b`).ReplaceAllLiteralString(text, to)
}
