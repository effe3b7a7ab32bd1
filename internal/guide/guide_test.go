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

const module = "../.."

// TestScripts guards the check itself: a page whose output, exit code, block or
// directive is wrong must fail.
func TestScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/pages", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "match" {
			want, got, _ := strings.Cut(d.Input, "\n--\n")
			if Match(lines(want), lines(got)) {
				return "yes\n"
			}
			return "no\n"
		}
		none := func() map[string]string { return map[string]string{} }
		act := func(string) error { return errors.New("unknown directive") }
		err := NewRunner(t.TempDir(), t.TempDir(), module, act, none).Run(strings.ReplaceAll(d.Input, "'''", "```"))
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
	if out, err := exec.Command("go", "build", "-o", programs, module+"/cmd/clementinectl", module+"/cmd/clementined").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	pages, err := filepath.Glob(module + "/docs/operators/*.md")
	if err != nil || len(pages) == 0 {
		t.Fatalf("no pages: %v", err)
	}
	// The pages mostly wait; more at a time would slow each other down.
	room := make(chan struct{}, 4)
	for _, path := range pages {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".md"), func(t *testing.T) {
			t.Parallel()
			room <- struct{}{}
			defer func() { <-room }()
			page, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			stage, err := NewStage(context.Background(), zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.ErrorLevel))
			if err != nil {
				t.Fatal(err)
			}
			defer stage.Close()
			runner := NewRunner(t.TempDir(), programs, module, stage.Act, stage.Names).WithEnv("CLEMENTINE_ADDRESS", stage.Address())
			if err := runner.Run(string(page)); err != nil {
				t.Error(err)
			}
		})
	}
}
