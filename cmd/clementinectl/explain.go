package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxLineSize is the largest accepted size of a log line in bytes.
	maxLineSize = 1 << 20
	// upstreamWindow is how long before and after a request's own lines the
	// lines about its upstreams are included.
	upstreamWindow = 3 * time.Second
)

// explainCommand prints the log lines of one request and its upstreams, in
// order of time, from the logs of all VMs.
type explainCommand struct {
	program *program
	Args    struct {
		ID    string   `positional-arg-name:"ID" description:"the request's id"`
		Files []string `positional-arg-name:"FILE" description:"log files of the VMs; standard input if there are none"`
	} `positional-args:"yes" required:"yes"`
}

// logLine is one line of a VM's log.
type logLine struct {
	time     time.Time
	vm       string
	request  string
	upstream string
	message  string
	// fields holds the other fields as name=value, sorted by name.
	fields []string
}

// Execute prints the lines and fails if there is none of the request.
func (c *explainCommand) Execute([]string) error {
	lines, err := c.read()
	if err != nil {
		return err
	}
	own, upstreams := requestLines(lines, c.Args.ID)
	if len(own) == 0 {
		return errors.Newf("no line of request %s", c.Args.ID)
	}
	shown := append(own, upstreamLines(lines, upstreams, own)...)
	slices.SortStableFunc(shown, func(a, b logLine) int { return a.time.Compare(b.time) })
	c.print(shown, own[0].time)
	return nil
}

// read reads all logs. It ignores text before a line's JSON, so that logs with
// prefixes can be read unchanged, and skips lines without JSON.
func (c *explainCommand) read() ([]logLine, error) {
	if len(c.Args.Files) == 0 {
		return readLines(os.Stdin)
	}
	var all []logLine
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return nil, inputError(err)
		}
		lines, err := readLines(f)
		_ = f.Close()
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLines(r io.Reader) ([]logLine, error) {
	var lines []logLine
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineSize)
	for sc.Scan() {
		start := strings.IndexByte(sc.Text(), '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		d := json.NewDecoder(strings.NewReader(sc.Text()[start:]))
		d.UseNumber()
		if err := d.Decode(&fields); err != nil {
			continue
		}
		if l, ok := newLogLine(fields); ok {
			lines = append(lines, l)
		}
	}
	return lines, sc.Err()
}

func newLogLine(fields map[string]any) (logLine, bool) {
	text := func(name string) string {
		v, _ := fields[name].(string)
		delete(fields, name)
		return v
	}
	number, _ := fields["time"].(json.Number)
	ms, err := number.Int64()
	delete(fields, "time")
	l := logLine{
		time:     time.UnixMilli(ms),
		vm:       text("vm"),
		request:  text("request"),
		upstream: text("upstream"),
		message:  text("message"),
	}
	delete(fields, "level")
	for name, value := range fields {
		l.fields = append(l.fields, fmt.Sprintf("%s=%v", name, value))
	}
	slices.Sort(l.fields)
	return l, err == nil
}

// requestLines returns the lines of a request in order of time and the
// upstreams that it was sent to.
func requestLines(lines []logLine, id string) ([]logLine, map[string]bool) {
	var own []logLine
	upstreams := make(map[string]bool)
	for _, l := range lines {
		if l.request != id {
			continue
		}
		own = append(own, l)
		if l.upstream != "" {
			upstreams[l.upstream] = true
		}
	}
	slices.SortStableFunc(own, func(a, b logLine) int { return cmp.Compare(a.time.UnixMilli(), b.time.UnixMilli()) })
	return own, upstreams
}

// upstreamLines returns the lines that the request's VM logged about the
// upstreams while the request ran or shortly before or after.
func upstreamLines(lines []logLine, upstreams map[string]bool, own []logLine) []logLine {
	from, to := own[0].time.Add(-upstreamWindow), own[len(own)-1].time.Add(upstreamWindow)
	var found []logLine
	for _, l := range lines {
		if l.request == "" && upstreams[l.upstream] && l.vm == own[0].vm && l.time.After(from) && l.time.Before(to) {
			found = append(found, l)
		}
	}
	return found
}

func (c *explainCommand) print(lines []logLine, start time.Time) {
	for _, l := range lines {
		parts := append([]string{l.message}, l.fields...)
		if l.upstream != "" {
			parts = slices.Insert(parts, 1, "upstream="+l.upstream)
		}
		_, _ = fmt.Fprintf(c.program.stdout, "%+7d ms  %s  %s\n", l.time.Sub(start).Milliseconds(), l.vm, strings.Join(parts, " "))
	}
}
