package claim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestScripts guards against a wrong outcome of a call when the VM crashes or
// pauses, or the store fails, at any point of its claim, send and answer.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd != "run" {
				d.Fatalf(t, "unknown command")
			}
			return runScript(t, d)
		})
	})
}

// runScript simulates the calls and faults that the input lists, one a line, and
// returns the trace.
func runScript(t *testing.T, d *datadriven.TestData) string {
	vms, _ := d.Arg("vms")
	m := newSim(1, vms.Vals, 1, 100, nil)
	m.trace = &strings.Builder{}
	for line := range strings.Lines(d.Input) {
		cmd, args, err := datadriven.ParseLine(strings.TrimSpace(line))
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		l := &datadriven.TestData{
			Pos:     d.Pos,
			Cmd:     cmd,
			CmdArgs: args,
		}
		switch cmd {
		case "on":
			m.scriptInterruption(t, l)
		case "store":
			var from, to time.Duration
			scan(t, l, "down", &from)
			scan(t, l, "up", &to)
			m.after(from, func() { m.storeDownUntil = m.start.Add(to) })
		case "restore":
			var at, back time.Duration
			scan(t, l, "at", &at)
			scan(t, l, "back", &back)
			m.after(at, func() { m.restore(back) })
		case "call":
			m.scriptCall(t, l)
		default:
			d.Fatalf(t, "unknown line %q", line)
		}
	}
	var until time.Duration
	scan(t, d, "until", &until)
	m.run(until)
	if err := m.check(); err != nil {
		fmt.Fprintf(m.trace, "broken: %v\n", err)
	}
	return m.trace.String()
}

func scan(t *testing.T, d *datadriven.TestData, name string, to *time.Duration) {
	var text string
	d.MaybeScanArgs(t, name, &text)
	if text == "" {
		return
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	*to = v
}

// scriptInterruption sets what happens at a point: on vm=a point=stored n=1 do=crash.
func (m *sim) scriptInterruption(t *testing.T, d *datadriven.TestData) {
	var vm, point, do string
	n := 1
	d.ScanArgs(t, "vm", &vm)
	d.ScanArgs(t, "point", &point)
	d.ScanArgs(t, "do", &do)
	d.MaybeScanArgs(t, "n", &n)
	span := 5 * time.Second
	scan(t, d, "for", &span)
	m.interruptions[fmt.Sprintf("%s %s %d", vm, point, n)] = map[string]func(*simVM){
		"crash": m.crash,
		"pause": func(v *simVM) { m.pause(v, span) },
		"lose":  func(*simVM) { m.loseReply = true },
		"down":  func(*simVM) { m.storeDownUntil = m.now.Add(span) },
		"outage": func(*simVM) {
			m.loseReply = true
			m.storeDownUntil = m.now.Add(span)
		},
		"refuse": func(*simVM) { m.f.refused = 1 },
		"accept": func(*simVM) { m.f.refused = 0 },
	}[do]
}

func (m *sim) scriptCall(t *testing.T, d *datadriven.TestData) {
	var vm string
	key, body, at, deadline := "k", "x", time.Duration(0), 3*time.Second
	d.ScanArgs(t, "vm", &vm)
	d.MaybeScanArgs(t, "key", &key)
	d.MaybeScanArgs(t, "body", &body)
	scan(t, d, "at", &at)
	scan(t, d, "deadline", &deadline)
	m.after(m.start.Add(at).Sub(m.now), func() { m.call(m.vm(vm), key, body, deadline) })
}
