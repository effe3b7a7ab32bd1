package main

import (
	"net/http"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"clementinelab": main,
	})
}

// TestScripts guards against a simulated service that doesn't print its
// address, serve there or stop on a signal, and against a capacity probe that
// is missing.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"get": get,
		},
	})
}

// get fetches a path from an address, retrying until it is served.
func get(ts *testscript.TestScript, _ bool, args []string) {
	for range 100 {
		if resp, err := http.Get("http://" + args[0] + args[1]); err == nil {
			ts.Check(resp.Body.Close())
			if resp.StatusCode != http.StatusOK {
				ts.Fatalf("status %d", resp.StatusCode)
			}
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("nothing listens on %s", args[0])
}
