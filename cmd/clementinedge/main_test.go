package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"clementinedge": func() { os.Exit(run(os.Args[1:])) },
	})
}

// TestCommands guards the command line: a wrong flag or setting must end the
// program with an error that names it, before any listener opens.
func TestCommands(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
	})
}
