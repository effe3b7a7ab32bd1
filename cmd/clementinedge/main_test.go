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

// TestCommands guards against wrong flags or settings that are accepted. They
// must end the program, before any listener opens, with an error that names
// them.
func TestCommands(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
	})
}
