package ledger

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestAccount guards against bytes that are held beyond the size of the account, or
// that are never free again, which end the process or refuse requests for good.
func TestAccount(t *testing.T) {
	var account *Account
	holdings := make(map[string]*Holding)
	datadriven.RunTest(t, "testdata/account", func(t *testing.T, d *datadriven.TestData) string {
		var name string
		var n, reserve, limit int64
		for _, a := range d.CmdArgs {
			switch a.Key {
			case "bytes":
				a.Scan(t, 0, &n)
			case "reserve":
				a.Scan(t, 0, &reserve)
			case "limit":
				a.Scan(t, 0, &limit)
			default:
				name = a.Key
			}
		}
		switch d.Cmd {
		case "new":
			account = New(n, reserve)
		case "open":
			holdings[name] = account.Open()
		case "take":
			return fmt.Sprintf("%v, %d free\n", holdings[name].Take(n), account.Free())
		case "begun":
			return fmt.Sprintf("%v, %d free\n", holdings[name].TryTake(n, limit), account.Free())
		case "wait":
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			time.AfterFunc(10*time.Millisecond, func() { holdings["a"].Give(n) })
			return fmt.Sprintf("%v, %d free\n", holdings[name].Wait(ctx, n, limit), account.Free())
		case "give":
			holdings[name].Give(n)
		case "close":
			holdings[name].Close()
		default:
			t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
		}
		return fmt.Sprintf("%d free\n", account.Free())
	})
}
