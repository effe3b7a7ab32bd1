package engine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"clementinelink.example/clementinelink/internal/order"
	"clementinelink.example/clementinelink/internal/router"
	"clementinelink.example/clementinelink/internal/world"
)

// TestEarlierRefusal guards against an attempt that counts as refused while it runs,
// because the engine wrote an earlier refusal once more on a kept connection.
func TestEarlierRefusal(t *testing.T) {
	const refusal = "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n"
	var events strings.Builder
	c := NewClient(func(_ context.Context, ev router.Event) { fmt.Fprintln(&events, ev) })
	defer c.Close()
	address := repeatEarlier(t, c, refusal)
	c.Open(t.Context(), action(address, false))
	if want := "token r1/1 0 id=7 \" a\"\nfinish r1/1 1 stop prompt=3\n"; events.String() != want {
		t.Errorf("got %q, want %q", events.String(), want)
	}
}

// TestEarlierConfirmation guards against an attempt that counts as stopped while it
// runs, and against an order that counts as accepted, because the engine wrote an
// earlier answer once more on a kept connection.
func TestEarlierConfirmation(t *testing.T) {
	const accepted = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	c := NewClient(nil)
	defer c.Close()
	address := repeatEarlier(t, c, accepted)
	if err := c.Cancel(t.Context(), address, "r1", 1); err == nil {
		t.Error("the cancel was confirmed")
	}
	address = repeatEarlier(t, c, accepted)
	reply, err := c.Order(t.Context(), world.NewVM("e1", world.Engine, address, "", ""), order.Action{})
	if err != nil || reply != order.Refused {
		t.Errorf("order: %v, %v, want %v", reply, err, order.Refused)
	}
}

// repeatEarlier starts an engine that writes its answer to a load report, which the
// client fetches first, once more before the answers to later requests on the same
// connection. It returns the engine's address.
func repeatEarlier(t *testing.T, c *Client, answer string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveRepeating(conn, answer)
		}
	}()
	address := l.Addr().String()
	if _, err := c.Load(t.Context(), world.NewVM("e1", world.Engine, address, "", "")); err == nil {
		t.Fatal("the answer is a load report")
	}
	return address
}

// serveRepeating answers load reports with answer, and repeats it. It runs attempts
// and refuses all else.
func serveRepeating(conn net.Conn, answer string) {
	defer func() { _ = conn.Close() }()
	const stream = `data: {"request":"r1","attempt":1,"index":0,"token":7,"text":" a"}

data: {"request":"r1","attempt":1,"index":1,"finish":"stop","prompt_tokens":3}

`
	r := bufio.NewReader(conn)
	repeats := false
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if repeats || req.URL.Path == "/load" {
			repeats = true
			_, _ = io.WriteString(conn, answer)
		}
		switch req.URL.Path {
		case "/load":
		case "/v1/completions":
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(stream), stream)
		default:
			_, _ = io.WriteString(conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		}
	}
}
