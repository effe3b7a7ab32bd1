package decl_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"clementinelink.example/clementinelink/pkg/decl"
)

// TestScripts guards against declarations that are decoded leniently, errors
// with a wrong position, and changes of the printed text, parts and differences.
// Commands: parse (prints the declaration or its faults), check now=TIME, diff
// (compares with the previous declaration), parts.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		current := decl.New()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			parsed, err := decl.Parse("site.json", []byte(d.Input))
			if d.Cmd == "check" || d.Cmd == "parts" {
				parsed, err = current, nil
			}
			if err != nil {
				return err.Error() + "\n"
			}
			defer func() { current = parsed }()
			switch d.Cmd {
			case "parse":
				return printed(t, parsed)
			case "diff":
				return strings.Join(decl.Diff(current, parsed), "\n") + "\n"
			case "parts":
				return parts(t, parsed)
			}
			var now string
			d.ScanArgs(t, "now", &now)
			at, err := time.Parse(time.RFC3339, now)
			if err != nil {
				t.Fatal(err)
			}
			if err := parsed.Check(at); err != nil {
				return err.Error() + "\n"
			}
			return fmt.Sprintf("ok, unchanged: %v\n", parsed.CheckChange(parsed, at.AddDate(1, 0, 0)))
		})
	})
}

// printed returns the printed declaration and verifies that it parses to an
// equal one.
func printed(t *testing.T, d *decl.Declaration) string {
	data, err := d.Print()
	if err != nil {
		t.Fatal(err)
	}
	again, err := decl.Parse("again.json", data)
	if err != nil {
		t.Fatal(err)
	}
	if lines := decl.Diff(d, again); len(lines) > 0 {
		t.Fatalf("printed text differs: %v", lines)
	}
	return string(data)
}

// parts returns the parts that are not empty, the number of differences after
// joining the parts again, and the error for a missing and an unknown part.
func parts(t *testing.T, d *decl.Declaration) string {
	split, err := decl.Split(d)
	if err != nil {
		t.Fatal(err)
	}
	joined, err := decl.Join(split)
	if err != nil {
		t.Fatal(err)
	}
	b := &strings.Builder{}
	for _, name := range decl.PartNames() {
		if len(split[name]) > len("{}") {
			fmt.Fprintf(b, "%s %s\n", name, split[name])
		}
	}
	fmt.Fprintf(b, "parts %d, joined differs in %d lines\n", len(split), len(decl.Diff(d, joined)))
	delete(split, "moves")
	split["extra"] = nil
	_, err = decl.Join(split)
	fmt.Fprintln(b, err)
	return b.String()
}
