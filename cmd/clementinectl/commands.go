package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"clementinelink.example/clementinelink/internal/submit"
	"clementinelink.example/clementinelink/pkg/decl"
)

// read decodes a declaration. Its errors end the program with exit code 2.
func (p *program) read(file string) (*decl.Declaration, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, inputError(err)
	}
	d, err := decl.Parse(file, data)
	if err != nil {
		return nil, p.reportFaults(err)
	}
	return d, nil
}

type faultJSON struct {
	File  string `json:"file"`
	Line  int    `json:"line"`
	Field string `json:"field"`
	Text  string `json:"text"`
}

// reportFaults prints the faults of a declaration as JSON if that is the output
// format, and returns err with exit code 2.
func (p *program) reportFaults(err error) error {
	if p.settings.Output == "json" {
		list := []faultJSON{}
		for _, f := range decl.Faults(err) {
			list = append(list, faultJSON{
				File:  f.File(),
				Line:  f.Line(),
				Field: f.Field(),
				Text:  f.Text(),
			})
		}
		p.json(map[string]any{"faults": list})
	}
	return inputError(err)
}

// json prints a value as JSON on one line.
func (p *program) json(value any) {
	e := json.NewEncoder(p.stdout)
	e.SetEscapeHTML(false)
	if err := e.Encode(value); err != nil {
		fmt.Fprintln(p.stderr, err)
	}
}

// show prints the response body as received, or the text if that is the output
// format.
func (p *program) show(raw []byte, text string) {
	if p.settings.Output == "json" {
		fmt.Fprintf(p.stdout, "%s\n", strings.TrimSpace(string(raw)))
		return
	}
	fmt.Fprint(p.stdout, text)
}

type checkCommand struct {
	*program
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute checks the declaration and fails if it has faults.
func (c *checkCommand) Execute([]string) error {
	d, err := c.read(c.Args.File)
	if err != nil {
		return err
	}
	if err := d.Check(c.now()); err != nil {
		return c.reportFaults(err)
	}
	if c.settings.Output == "json" {
		c.json(map[string]any{"faults": []faultJSON{}})
	}
	return nil
}

type diffCommand struct {
	*program
	Args struct {
		File string `positional-arg-name:"FILE" required:"yes"`
		Next string `positional-arg-name:"NEWER" description:"compare FILE with this file instead of the declaration in force"`
	} `positional-args:"yes"`
}

// Execute prints the differences between FILE and the declaration in force, or
// between FILE and NEWER.
func (c *diffCommand) Execute([]string) error {
	next, err := c.read(c.Args.File)
	if err != nil {
		return err
	}
	old, revision := next, uint64(0)
	if c.Args.Next != "" {
		next, err = c.read(c.Args.Next)
	} else {
		old, revision, err = c.inForce()
	}
	if err != nil {
		return err
	}
	lines := decl.Diff(old, next)
	if c.settings.Output == "json" {
		c.json(map[string]any{
			"revision": revision,
			"lines":    lines,
		})
		return nil
	}
	if c.Args.Next == "" {
		fmt.Fprintf(c.stdout, "against revision %d\n", revision)
	}
	for _, line := range lines {
		fmt.Fprintln(c.stdout, line)
	}
	return nil
}

// inForce returns the declaration in force and its revision.
func (p *program) inForce() (*decl.Declaration, uint64, error) {
	s, err := p.status(true)
	if err != nil {
		return nil, 0, err
	}
	if s.Revision() == 0 {
		return decl.New(), 0, nil
	}
	d, err := decl.Join(s.Parts())
	return d, s.Revision(), err
}

func (p *program) status(parts bool) (s *submit.Status, err error) {
	err = p.withClient(func(ctx context.Context, c *submit.Client) (err error) {
		s, err = c.Status(ctx, parts)
		return err
	})
	return s, err
}

type applyCommand struct {
	*program
	Revision int64  `long:"revision" env:"CLEMENTINE_REVISION" default:"-1" default-mask:"-" description:"revision that the change is based on, as shown by diff; 0 for the first one"`
	Change   string `long:"change" env:"CLEMENTINE_CHANGE" description:"change id, to repeat an earlier submission (default: a new one)"`
	Author   string `long:"author" env:"CLEMENTINE_AUTHOR" description:"name kept in the history"`
	Args     struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute submits the declaration. While the result is unknown, it repeats the
// submission with the same change id.
func (c *applyCommand) Execute([]string) error {
	if c.Revision < 0 {
		return inputError(errors.New("no --revision: use the one that diff shows"))
	}
	d, err := c.read(c.Args.File)
	if err != nil {
		return err
	}
	parts, err := decl.Split(d)
	if err != nil {
		return err
	}
	if c.Change == "" {
		c.Change = uuid.NewString()
	}
	request := submit.NewRequest(c.Change, c.Author, uint64(c.Revision), parts)
	var result *submit.Result
	var raw []byte
	err = c.withClient(func(ctx context.Context, client *submit.Client) (err error) {
		result, raw, err = client.Apply(ctx, request)
		if err == nil && (result.State() == submit.Unknown || result.State() == submit.Unavailable) {
			err = errors.Newf("%s: %s", result.Summary(), strings.Join(result.Lines(), "; "))
		}
		return err
	})
	if err != nil {
		return errors.Wrapf(err, "not settled; repeat with --change %s --revision %d", c.Change, c.Revision)
	}
	text := result.Summary() + "\n"
	for _, line := range result.Lines() {
		text += line + "\n"
	}
	switch result.State() {
	case submit.Accepted, submit.Unchanged:
		c.show(raw, text)
		return nil
	case submit.Conflict:
		return c.rejected(exitConflict, raw, text)
	default:
		return c.rejected(exitInput, raw, text)
	}
}

func (c *applyCommand) rejected(code int, raw []byte, text string) error {
	if c.settings.Output == "json" {
		c.show(raw, "")
	}
	return &exitError{
		code: code,
		err:  errors.New(strings.TrimSpace(text)),
	}
}

type statusCommand struct {
	*program
}

// Execute prints the status of an entry VM.
func (c *statusCommand) Execute([]string) error {
	s, err := c.status(false)
	if err != nil {
		return err
	}
	c.show(s.Raw(), s.Text())
	return nil
}

type historyCommand struct {
	*program
	Limit int `long:"limit" env:"CLEMENTINE_LIMIT" default:"20" description:"largest number of changes"`
}

// Execute prints the latest changes.
func (c *historyCommand) Execute([]string) error {
	return c.withClient(func(ctx context.Context, client *submit.Client) error {
		list, raw, err := client.History(ctx, c.Limit)
		if err != nil {
			return err
		}
		text := ""
		for i := range list {
			text += list[i].String() + "\n"
		}
		c.show(raw, text)
		return nil
	})
}

type watchCommand struct {
	*program
	Move   string        `long:"move" env:"CLEMENTINE_MOVE" description:"end when this move has a result"`
	Period time.Duration `long:"period" env:"CLEMENTINE_PERIOD" default:"2s" description:"longest time between two looks at the moves"`
	For    time.Duration `long:"for" env:"CLEMENTINE_FOR" description:"end after this time (default: never)"`
}

// Execute prints the status whenever it changes, until the program is
// interrupted, the time is over or the move has a result.
func (c *watchCommand) Execute([]string) error {
	if c.For > 0 {
		ctx, cancel := context.WithTimeout(c.ctx, c.For)
		defer cancel()
		c.ctx = ctx
	}
	s, err := c.status(false)
	if err != nil {
		return err
	}
	for lastText := ""; ; {
		if text := s.Text(); text != lastText {
			lastText = text
			c.show(s.Raw(), text)
		}
		if s.MoveFinished(c.Move) {
			return nil
		}
		next, err := c.await(s.Revision())
		if c.ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		s = next
	}
}

func (c *watchCommand) await(after uint64) (s *submit.Status, err error) {
	err = c.withClient(func(ctx context.Context, client *submit.Client) (err error) {
		s, err = client.Await(ctx, after, c.Period)
		return err
	})
	return s, err
}
