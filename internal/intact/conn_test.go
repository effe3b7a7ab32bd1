package intact

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
)

// socket is a connection whose writes return when a script says so and whose reads
// return io.EOF.
type socket struct {
	net.Conn
	results chan error
}

func (s *socket) Read([]byte) (int, error) { return 0, io.EOF }

func (s *socket) Write(p []byte) (int, error) {
	if err := <-s.results; err != nil {
		return 0, err
	}
	return len(p), nil
}

func (s *socket) Close() error { return nil }

// TestConn guards against a response that counts as complete although its request was
// not written in full, and against the reverse. Each script has one command a line:
// "begin LENGTH", "write TEXT" with \r\n for line ends, "written" and "failed" for the
// result of the write in progress, "read" at the peer's end of the connection, "wait
// DURATION" and "close". It prints the results of reads and the time that they took.
func TestConn(t *testing.T) {
	datadriven.RunTest(t, "testdata/conn", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		synctest.Test(t, func(t *testing.T) {
			s := &socket{
				results: make(chan error),
			}
			c := NewConn(s)
			for line := range strings.Lines(d.Input) {
				command, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
				switch command {
				case "begin":
					n, err := strconv.ParseInt(rest, 10, 64)
					if err != nil {
						t.Fatal(err)
					}
					c.Begin(n)
				case "write":
					go func() { _, _ = c.Write([]byte(strings.ReplaceAll(rest, `\r\n`, "\r\n"))) }()
				case "written":
					s.results <- nil
				case "failed":
					s.results <- syscall.ECONNRESET
				case "read":
					began := time.Now()
					go func() {
						_, err := c.Read(make([]byte, 1))
						fmt.Fprintf(&out, "complete: %t after %s\n", !errors.Is(err, ErrIncomplete), time.Since(began))
					}()
				case "wait":
					pause, err := time.ParseDuration(rest)
					if err != nil {
						t.Fatal(err)
					}
					time.Sleep(pause)
				case "close":
					_ = c.Close()
				default:
					t.Fatalf("unknown command %q", command)
				}
				synctest.Wait()
			}
		})
		return out.String()
	})
}
