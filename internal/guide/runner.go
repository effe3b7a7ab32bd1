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
	// commandTime bounds one command.
	commandTime = time.Minute
	// repeatPause is the time between two runs of a repeated command.
	repeatPause = 100 * time.Millisecond
	// upTime bounds the start of a VM that a page starts.
	upTime = 20 * time.Second
)

// foreign matches an address of the pages that has none on loopback.
var foreign = regexp.MustCompile(`\b10\.\d+\.\d+\.\d+`)

// Runner replays one page. One goroutine uses it.
type Runner struct {
	// dir is where files are written and commands run.
	dir string
	// programs is the directory of the project's programs.
	programs string
	// module is the root of the module, where Go files are run.
	module string
	// act carries out a directive.
	act func(words string) error
	// names returns the addresses in the pages with those on loopback.
	names func() map[string]string
	env   []string
	// extra holds the addresses of VMs that the page started.
	extra map[string]string
	// status is the exit code of the last command, and seen whether the page
	// shows it. A failure that the page does not show is an error.
	status int
	seen   bool
	// repeat is the time for which the next command is repeated until its output
	// is right.
	repeat time.Duration
	// behind is the process that the page started, or nil.
	behind *exec.Cmd
}

// NewRunner returns a runner that works in dir, with the project's programs and
// the module's root.
func NewRunner(dir, programs, module string, act func(words string) error, names func() map[string]string) *Runner {
	return &Runner{
		dir:      dir,
		programs: programs,
		module:   module,
		act:      act,
		names:    names,
		extra:    make(map[string]string),
		seen:     true,
	}
}

// WithEnv adds a variable to the environment of commands; addresses in it are
// those of the pages.
func (r *Runner) WithEnv(name, value string) *Runner {
	r.env = append(r.env, name+"="+value)
	return r
}

// Run replays the page. The error names the line of the first step that is not
// as the page says.
func (r *Runner) Run(page string) error {
	steps, err := Parse(page)
	if err != nil {
		return err
	}
	defer r.stop()
	for i := range steps {
		if err := r.step(&steps[i]); err != nil {
			return errors.Wrapf(err, "line %d: %s", steps[i].Line(), steps[i].Text())
		}
	}
	if !r.seen {
		return errors.Newf("the last command fails with exit code %d, which the page does not show", r.status)
	}
	return nil
}

// stop ends the process that the page started.
func (r *Runner) stop() {
	if r.behind != nil {
		_ = r.behind.Process.Kill()
		_ = r.behind.Wait()
	}
}

func (r *Runner) step(s *Step) error {
	switch s.Kind() {
	case File:
		return os.WriteFile(filepath.Join(r.dir, s.Text()), []byte(strings.Join(s.Body(), "\n")+"\n"), 0o600)
	case Directive:
		if text, ok := strings.CutPrefix(s.Text(), "repeat "); ok {
			d, err := time.ParseDuration(text)
			r.repeat = d
			return err
		}
		return r.act(s.Text())
	}
	if s.Text() != "echo $?" && !r.seen {
		return errors.Newf("the command before fails with exit code %d, which the page does not show", r.status)
	}
	until := time.Now().Add(r.repeat)
	r.repeat = 0
	for {
		out, err := r.command(s.Text())
		if err != nil {
			return err
		}
		got := lines(out)
		if Match(s.Body(), got) {
			return nil
		}
		if time.Now().After(until) {
			return errors.Newf("the output differs\nwant:\n  %s\ngot:\n  %s", strings.Join(s.Body(), "\n  "), strings.Join(got, "\n  "))
		}
		time.Sleep(repeatPause)
	}
}

func lines(out string) []string {
	if out = strings.TrimSuffix(out, "\n"); out == "" {
		return nil
	}
	return strings.Split(out, "\n")
}

// command runs a command line and returns its output with the addresses of the
// pages.
func (r *Runner) command(text string) (string, error) {
	l, err := parseLine(text)
	if err != nil {
		return "", err
	}
	for i, w := range l.words {
		l.words[i] = r.inward(w)
	}
	if text != "echo $?" {
		r.status, r.seen = 0, true
	}
	var out bytes.Buffer
	if err := r.execute(l, &out); err != nil {
		return "", err
	}
	return r.outward(out.String()), nil
}

// execute runs a command of this package or a program.
func (r *Runner) execute(l *line, out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTime)
	defer cancel()
	for _, w := range l.words {
		if foreign.MatchString(w) {
			return errors.Newf("%s has no address on loopback", w)
		}
	}
	switch l.words[0] {
	case "echo":
		r.seen = true
		_, err := fmt.Fprintln(out, r.status)
		return err
	case "cat":
		data, err := os.ReadFile(filepath.Join(r.dir, l.words[1]))
		if err == nil {
			_, err = out.Write(data)
		}
		return err
	case "kill":
		if r.behind == nil {
			return errors.New("kill: no process was started")
		}
		return r.behind.Process.Signal(syscall.SIGTERM)
	case "wait":
		return r.await()
	case "curl":
		if err := curl(ctx, l.words[1:], out); err != nil {
			// Exit code 7 is curl's for a refused connection.
			r.status, r.seen = 7, false
		}
		return nil
	case "go":
		if len(l.words) != 3 || l.words[1] != "run" {
			return errors.New("go: only go run FILE")
		}
		cmd := exec.CommandContext(ctx, "go", "run", filepath.Join(r.dir, l.words[2]))
		cmd.Dir = r.module
		return r.run(cmd, l, out)
	case "clementinectl", "clementined":
		cmd := exec.Command(filepath.Join(r.programs, l.words[0]), l.words[1:]...)
		cmd.Dir = r.dir
		if l.behind {
			return r.start(cmd, l)
		}
		cmd = exec.CommandContext(ctx, cmd.Path, l.words[1:]...)
		cmd.Dir = r.dir
		return r.run(cmd, l, out)
	}
	return errors.Newf("unknown program %s", l.words[0])
}

// run runs a program to its end.
func (r *Runner) run(cmd *exec.Cmd, l *line, out io.Writer) error {
	cmd.Env = r.environment()
	cmd.Stdout = out
	cmd.Stderr = out
	if l.out != "" {
		f, err := os.Create(filepath.Join(r.dir, l.out))
		if err != nil {
			return err
		}
		defer f.Close()
		cmd.Stdout = f
	}
	return r.exited(cmd.Run())
}

// exited notes the exit code of a program that ended with err.
func (r *Runner) exited(err error) error {
	var e *exec.ExitError
	if errors.As(err, &e) {
		r.status, r.seen = e.ExitCode(), false
		return nil
	}
	return err
}

func (r *Runner) environment() []string {
	env := os.Environ()
	for _, v := range r.env {
		env = append(env, r.inward(v))
	}
	return env
}

// start starts an entry VM and learns its addresses from its log.
func (r *Runner) start(cmd *exec.Cmd, l *line) error {
	if r.behind != nil || l.errs == "" {
		return errors.New("one process, with a file for its log")
	}
	path := filepath.Join(r.dir, l.errs)
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
	r.behind = cmd
	up := regexp.MustCompile(`"callers":"([^"]+)","operators":"([^"]+)","peers":"([^"]+)"`)
	for end := time.Now().Add(upTime); time.Now().Before(end); time.Sleep(repeatPause) {
		log, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if m := up.FindStringSubmatch(string(log)); m != nil {
			for i, port := range []string{"8080", "8081", "8082"} {
				r.extra[startHost+":"+port] = m[i+1]
			}
			return nil
		}
	}
	return errors.New("the VM does not come up")
}

// startHost is the address of the VM that a page may start.
const startHost = "10.0.1.2"

// await waits for the end of the process that the page started.
func (r *Runner) await() error {
	if r.behind == nil {
		return errors.New("wait: no process was started")
	}
	cmd := r.behind
	r.behind = nil
	timer := time.AfterFunc(commandTime, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	return r.exited(cmd.Wait())
}

// inward replaces the pages' addresses by those on loopback. A VM that is not
// started yet gets a free port.
func (r *Runner) inward(text string) string {
	for name, at := range r.all() {
		text = replaceAddress(text, name, at)
	}
	for port := 8080; port <= 8082; port++ {
		text = replaceAddress(text, startHost+":"+strconv.Itoa(port), "127.0.0.1:0")
	}
	return text
}

// outward replaces the addresses on loopback by those of the pages.
func (r *Runner) outward(text string) string {
	for name, at := range r.all() {
		text = replaceAddress(text, at, name)
	}
	return text
}

func (r *Runner) all() map[string]string {
	names := r.names()
	for name, at := range r.extra {
		names[name] = at
	}
	return names
}

// replaceAddress replaces an address that is not the beginning of one with a
// longer port.
func replaceAddress(text, from, to string) string {
	return regexp.MustCompile(regexp.QuoteMeta(from)+`\b`).ReplaceAllLiteralString(text, to)
}
