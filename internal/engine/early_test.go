package engine

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"clementinelink.example/clementinelink/internal/abort"
	"clementinelink.example/clementinelink/internal/order"
	"clementinelink.example/clementinelink/internal/router"
	"clementinelink.example/clementinelink/internal/world"
)

// TestResetWhileUploading guards against an order that counts as accepted, a cancel that
// counts as confirmed and a load report that counts as complete, although the engine
// reset the connection while the request was written. The response has no length, and the
// client reads end of file.
func TestResetWhileUploading(t *testing.T) {
	c := NewClient(nil).WithDial(abort.Dial("HTTP/1.1 200 OK\r\n\r\n" + `{"incarnation":1,"slots":4}`))
	defer c.Close()
	vm := world.NewVM("e1", world.Engine, "engine:1", "", "")
	if reply, err := c.Order(t.Context(), vm, order.Action{}); err == nil || reply != order.Unanswered {
		t.Errorf("order: %v, %v, want %v", reply, err, order.Unanswered)
	}
	if err := c.Cancel(t.Context(), vm.Address(), "r1", 1); err == nil {
		t.Error("the cancel was confirmed")
	}
	if _, err := c.Load(t.Context(), vm); err == nil {
		t.Error("the load report was accepted")
	}
	c = NewClient(nil).WithDial(abort.Dial("HTTP/1.1 409 Conflict\r\n\r\n" + `{"fence":9}`))
	defer c.Close()
	if reply, err := c.Order(t.Context(), vm, order.Action{}); err == nil || reply != order.Unanswered {
		t.Errorf("fenced order: %v, %v, want %v", reply, err, order.Unanswered)
	}
}

// TestResetStream guards against a stream without length that is reset while its prompt
// is written and counts as finished.
func TestResetStream(t *testing.T) {
	var events strings.Builder
	c := NewClient(func(_ context.Context, ev router.Event) { fmt.Fprintln(&events, ev) }).
		WithDial(abort.Dial("HTTP/1.1 200 OK\r\n\r\n" + `data: {"request":"r1","attempt":1,"index":0,"token":7,"text":" a"}` + "\n\n"))
	defer c.Close()
	c.Open(t.Context(), action("engine:1", false))
	if got := events.String(); !strings.HasSuffix(got, "lost r1/1 reset\n") {
		t.Errorf("events %q, want a loss at the end", got)
	}
}

// TestStatus guards against an order that counts as accepted because the response has a
// status that HTTP does not have.
func TestStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		s, err := abort.Start(abort.Script{
			Response: "HTTP/1.1 " + status + " Odd\r\nContent-Length: 0\r\n\r\n",
		})
		if err != nil {
			t.Fatal(err)
		}
		c := NewClient(nil)
		reply, err := c.Order(t.Context(), world.NewVM("e1", world.Engine, s.Address(), "", ""), order.Action{})
		if err == nil || reply != order.Unanswered {
			t.Errorf("status %s: %v, %v, want %v", status, reply, err, order.Unanswered)
		}
		c.Close()
		s.Close()
	}
}
