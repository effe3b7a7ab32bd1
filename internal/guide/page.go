package guide

import (
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
)

// Kind says what the Runner does for a step.
type Kind uint8

// The kinds of steps.
const (
	// File writes a file to the working directory.
	File Kind = iota
	// Command runs a command and compares its output with the page.
	Command
	// Directive changes the deployment.
	Directive
)

// Step is a file, a command or a directive of a page.
type Step struct {
	kind Kind
	// line is the number of the step's first line, counted from 1.
	line int
	// text is the file's name, the command line or the directive's words.
	text string
	// body is the file's lines or the expected output.
	body []string
}

// Kind returns what the Runner does for the step.
func (s *Step) Kind() Kind { return s.kind }

// Line returns the number of the step's first line, counted from 1.
func (s *Step) Line() int { return s.line }

// Text returns the file's name, the command line or the directive's words.
func (s *Step) Text() string { return s.text }

// Body returns the file's lines, or the command's expected output. It is nil
// for a directive. The caller must not modify it.
func (s *Step) Body() []string { return s.body }

// fence matches the first line of a fenced block, with its kind and optional
// file name. directive matches a line with a directive.
var (
	fence     = regexp.MustCompile("^```([a-z]+)(?: ([A-Za-z0-9._-]+))?$")
	directive = regexp.MustCompile(`^<!-- lab: (.+) -->$`)
)

// Parse returns the steps of a page in order. It returns an error for a fenced
// block without a kind, for one that is neither "console" nor "text" and names
// no file, for an unterminated block, and for output before the first command
// of a block.
func Parse(page string) ([]Step, error) {
	var steps []Step
	lines := strings.Split(page, "\n")
	for i := 0; i < len(lines); i++ {
		if m := directive.FindStringSubmatch(lines[i]); m != nil {
			steps = append(steps, Step{
				kind: Directive,
				line: i + 1,
				text: m[1],
			})
			continue
		}
		if !strings.HasPrefix(lines[i], "```") {
			continue
		}
		m := fence.FindStringSubmatch(lines[i])
		if m == nil {
			return nil, errors.Newf("line %d: a fenced block needs a kind", i+1)
		}
		end := i + 1
		for end < len(lines) && lines[end] != "```" {
			end++
		}
		if end == len(lines) {
			return nil, errors.Newf("line %d: the fenced block does not end", i+1)
		}
		found, err := parseBlock(m[1], m[2], i+1, lines[i+1:end])
		if err != nil {
			return nil, err
		}
		steps = append(steps, found...)
		i = end
	}
	return steps, nil
}

// parseBlock returns the steps of a fenced block. line is the number of the
// line that opens it; lines are its contents.
func parseBlock(kind, name string, line int, lines []string) ([]Step, error) {
	switch {
	case kind == "console" && name == "":
		return parseCommands(line, lines)
	case kind == "text" && name == "":
		return nil, nil
	case name == "":
		return nil, errors.Newf("line %d: a block of kind %s needs a file name", line, kind)
	}
	return []Step{{
		kind: File,
		line: line,
		text: name,
		body: lines,
	}}, nil
}

// parseCommands returns the commands of a console block with their expected
// output.
func parseCommands(line int, lines []string) ([]Step, error) {
	var steps []Step
	for i, l := range lines {
		if text, ok := strings.CutPrefix(l, "$ "); ok {
			steps = append(steps, Step{
				kind: Command,
				line: line + 1 + i,
				text: text,
			})
			continue
		}
		if len(steps) == 0 {
			return nil, errors.Newf("line %d: output without a command", line+1+i)
		}
		last := &steps[len(steps)-1]
		last.body = append(last.body, l)
	}
	return steps, nil
}
