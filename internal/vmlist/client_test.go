package vmlist_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/simvms"
	"clementinelink.example/clementinelink/internal/vmlist"
	"clementinelink.example/clementinelink/internal/world"
)

// TestList guards against a client that misreads a change of the list, a list
// that lags behind, or a failure. The post command sends each input line to the
// simulated list as a change; then the list is read and printed.
func TestList(t *testing.T) {
	server := simvms.New(0, world.NewVM("vm-1", world.Entry, "127.0.0.1:1", "gab-mill", "gabrovo"))
	base, stop, err := server.Start()
	if err != nil {
		t.Fatal(err)
	}
	client := vmlist.New(base)
	datadriven.RunTest(t, "testdata/list", func(t *testing.T, td *datadriven.TestData) string {
		var b strings.Builder
		if td.Cmd == "sleep" {
			time.Sleep(300 * time.Millisecond)
		}
		for change := range strings.Lines(td.Input) {
			resp, err := http.Post(base+"/vms", "application/json", strings.NewReader(change))
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			fmt.Fprintln(&b, resp.Status)
		}
		vms, err := client.List(context.Background())
		if errors.Is(err, vmlist.ErrUnavailable) {
			return b.String() + "unavailable\n"
		}
		for _, v := range vms {
			fmt.Fprintf(&b, "%s %s %q %s %s/%s leaving=%t\n", v.Name(), v.Kind(), v.Service(), v.Address(), v.Region(), v.Domain(), v.Leaving())
		}
		return b.String()
	})
	if err := stop(); err != nil {
		t.Error(err)
	}
}
