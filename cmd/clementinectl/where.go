package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/where"
)

// askTimeout bounds one VM's response. The VM itself takes a second at most.
const askTimeout = 3 * time.Second

// whereCommand shows where a VM would send a request. Its numbers are texts so that
// where.Check reports their faults like those of other fields.
type whereCommand struct {
	*program
	VM       string   `long:"vm" env:"CLEMENTINE_VM" value-name:"NAME" description:"name of the VM to ask, one of those at --address; without it, the first one that responds"`
	Host     string   `long:"host" required:"yes" description:"host of the request"`
	Path     string   `long:"path" default:"/" description:"path of the request"`
	KeyFile  string   `long:"key-file" value-name:"FILE" description:"file with the workspace key, or - for standard input; without it, CLEMENTINE_KEY"`
	Prompt   string   `long:"prompt" value-name:"TOKENS" description:"size of the prompt"`
	Output   string   `long:"generate" value-name:"TOKENS" description:"largest number of tokens to generate"`
	Session  string   `long:"session" description:"part of the prompt that is specific to the request"`
	Parts    []string `long:"part" description:"part of the prompt that other requests share; may be repeated"`
	Position string   `long:"position" value-name:"INDEX" description:"index of the last piece that the caller has"`
	Wait     string   `long:"wait" value-name:"DURATION" description:"the caller's timeout"`
}

// options holds the command's option for each field whose name differs.
var options = map[string]string{
	"output": "generate",
	"key":    "key-file",
}

// Execute asks the VM and prints its explanation.
func (c *whereCommand) Execute([]string) error {
	q := c.query()
	if err := where.Check(q); err != nil {
		return optionError(err)
	}
	key, err := c.key()
	if err != nil {
		return err
	}
	if len(c.settings.Address) == 0 {
		return inputError(errors.New("no --address and no CLEMENTINE_ADDRESS: use the address of the VM's metrics"))
	}
	var failures []string
	for _, address := range c.settings.Address {
		a, err := c.ask(address, q, key)
		var e *exitError
		switch {
		case err != nil && (errors.As(err, &e) || a.vm != "" && (c.VM == "" || a.vm == c.VM)):
			return err
		case a.vm != "" && c.VM != "" && a.vm != c.VM:
			failures = append(failures, address+" is VM "+a.vm)
		case err != nil:
			failures = append(failures, address+": "+err.Error())
		default:
			c.show(a.raw, a.report.Text())
			return nil
		}
	}
	if c.VM != "" {
		return errors.Newf("unknown VM %s: %s", c.VM, strings.Join(failures, "; "))
	}
	return errors.New(strings.Join(failures, "; "))
}

// query returns the fields of the request without its key.
func (c *whereCommand) query() url.Values {
	q := url.Values{}
	for name, text := range map[string]string{
		"host":     c.Host,
		"path":     c.Path,
		"prompt":   c.Prompt,
		"output":   c.Output,
		"session":  c.Session,
		"position": c.Position,
		"wait":     c.Wait,
	} {
		if text != "" {
			q.Set(name, text)
		}
	}
	for _, part := range c.Parts {
		q.Add("part", part)
	}
	return q
}

// key returns the workspace key, or "". It is no option, since other users of a machine see the
// options of a process.
func (c *whereCommand) key() (string, error) {
	key := os.Getenv("CLEMENTINE_KEY")
	if c.KeyFile != "" {
		data, err := readKey(c.KeyFile)
		if err != nil {
			return "", inputError(errors.Wrap(err, "--key-file"))
		}
		key = strings.TrimSpace(string(data))
		if key == "" {
			return "", inputError(errors.New("--key-file: is empty"))
		}
	}
	if err := where.CheckKey(key); err != nil {
		return "", optionError(err)
	}
	return key, nil
}

func readKey(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(io.LimitReader(os.Stdin, maxLineSize))
	}
	return os.ReadFile(file)
}

// optionError returns the error of a field under the name of its option, with exit code 2.
func optionError(err error) error {
	var f *where.FieldError
	if !errors.As(err, &f) {
		return inputError(err)
	}
	name := f.Field()
	if option, ok := options[name]; ok {
		name = option
	}
	return inputError(errors.Newf("--%s: %s", name, f.Reason()))
}

// answer is the response of a VM.
type answer struct {
	// vm is the name of the VM, or "" if the response is of no clementinedge.
	vm     string
	raw    []byte
	report *where.Report
}

// ask asks the VM at an address. The name of the VM is known also with an error of its own. An
// error with an exit code is final.
func (c *whereCommand) ask(address string, q url.Values, key string) (answer, error) {
	ctx, cancel := context.WithTimeout(c.ctx, min(c.settings.Timeout, askTimeout))
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/where?"+q.Encode(), nil)
	if err != nil {
		return answer{}, inputError(errors.Newf("--address: %q is not HOST:PORT", address))
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		var u *url.Error
		if errors.As(err, &u) {
			// The URL holds the request's session and parts.
			err = u.Err
		}
		return answer{}, errors.Wrap(err, "no VM responds")
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReportSize))
	if err != nil {
		return answer{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return refusal(raw)
	}
	var report where.Report
	if err := json.Unmarshal(raw, &report); err != nil || report.VM == "" {
		return answer{}, errNoEdge
	}
	return answer{
		vm:     report.VM,
		raw:    raw,
		report: &report,
	}, nil
}

// errNoEdge means that a response is not one of GET /where.
var errNoEdge = errors.New("no explanation: is this the metrics address of a clementinedge?")

// refusal returns the error in a response without an explanation.
func refusal(raw []byte) (answer, error) {
	var body where.ErrorBody
	if err := json.Unmarshal(raw, &body); err != nil || body.VM == "" {
		return answer{}, errNoEdge
	}
	a := answer{
		vm: body.VM,
	}
	if body.Field != "" {
		return a, inputError(errors.Newf("%s: %s", body.Field, body.Reason))
	}
	return a, errors.Newf("VM %s: %s", body.VM, body.Reason)
}
