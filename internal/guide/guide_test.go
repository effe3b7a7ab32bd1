package guide

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// module is the root of the Go module.
const module = "../.."

// TestScripts guards against a Runner that accepts a page with wrong output, a
// failure whose exit code is not shown, a malformed block or an unknown
// directive. In the scripts, "match" compares expected and actual lines
// separated by "--". "replay" runs a page whose fences are written as three
// single quotes.
func TestScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/pages", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "match" {
			want, got, _ := strings.Cut(d.Input, "\n--\n")
			if Match(splitLines(want), splitLines(got)) {
				return "yes\n"
			}
			return "no\n"
		}
		noAddresses := func() map[string]string { return map[string]string{} }
		unknownDirective := func(string) error { return errors.New("unknown directive") }
		err := NewRunner(t.TempDir(), t.TempDir(), module, unknownDirective, noAddresses).Run(strings.ReplaceAll(d.Input, "'''", "```"))
		if err != nil {
			return err.Error() + "\n"
		}
		return "ok\n"
	})
}

// TestOperators guards the operators' pages against commands that do not run
// and output that the programs do not give.
func TestOperators(t *testing.T) {
	programs := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", programs, module+"/cmd/clementinectl", module+"/cmd/clementined", module+"/cmd/clementinedge").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	pages, err := filepath.Glob(module + "/docs/operators/*.md")
	if err != nil || len(pages) == 0 {
		t.Fatalf("no pages: %v", err)
	}
	// The pages spend most of their time waiting, so several run concurrently. More
	// than four would slow each other down.
	running := make(chan struct{}, 4)
	for _, path := range pages {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".md"), func(t *testing.T) {
			t.Parallel()
			running <- struct{}{}
			defer func() { <-running }()
			page, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			deployment, err := NewDeployment(context.Background(), zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.ErrorLevel))
			if err != nil {
				t.Fatal(err)
			}
			defer deployment.Close()
			runner := NewRunner(t.TempDir(), programs, module, deployment.RunDirective, deployment.Addresses).WithEnv("CLEMENTINE_ADDRESS", deployment.AdminAddresses())
			if err := runner.Run(string(page)); err != nil {
				t.Error(err)
			}
		})
	}
}
