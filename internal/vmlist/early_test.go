package vmlist_test

import (
	"testing"

	"clementinelink.example/clementinelink/internal/abort"
	"clementinelink.example/clementinelink/internal/vmlist"
	"github.com/cockroachdb/errors"
)

// TestResetWhileUploading guards against a response without length that ends with a
// reset while the request is written and is taken for the whole list.
func TestResetWhileUploading(t *testing.T) {
	c := vmlist.New("http://list:1").WithDial(abort.Dial("HTTP/1.1 200 OK\r\n\r\n" + `{"vms":[]}`))
	if vms, err := c.List(t.Context()); !errors.Is(err, vmlist.ErrUnavailable) {
		t.Errorf("%d VMs, %v", len(vms), err)
	}
}
