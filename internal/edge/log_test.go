package edge

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/budget"
	"clementinelink.example/clementinelink/internal/ledger"
	"clementinelink.example/clementinelink/internal/meter"
	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/proxy"
	"clementinelink.example/clementinelink/internal/table"
	"github.com/rs/zerolog"
)

// TestRefusedByTable guards against a log line of a refused request that does
// not name the version and age of the table that caused the refusal.
func TestRefusedByTable(t *testing.T) {
	var out bytes.Buffer
	core := proxy.New(pool.New("r", "a", 1), budget.NewLimits(0.8, 180, time.Second), 1)
	d := newDispatcher(core, Upstreams{}, newEventLog(zerolog.New(&out), meter.New("test")))
	now := time.Unix(1_700_000_000, 0)
	d.now = func() time.Time { return now }
	d.step(t.Context(), proxy.NewConfigure(table.New(7, table.Limits{})))
	d.step(t.Context(), proxy.NewMembers([]pool.Entry{pool.NewEntry(pool.EntrySpec{ID: "u"})}, nil))
	now = now.Add(1500 * time.Millisecond)
	d.requests[1] = &request{
		arrival: arrival{
			id:      "q1",
			outputs: NewOutput(4, ledger.New(0, 0).Open()),
		},
		arrived: now,
	}
	d.step(t.Context(), proxy.NewArrive(proxy.NewRequest(proxy.RequestSpec{Number: 1, ID: "q1", Path: "/none"})))
	if want := `"reason":"no such route","ms":0,"sends":0,"table":7,"table_age":1500`; !strings.Contains(out.String(), want) {
		t.Errorf("%s is not in the log:\n%s", want, &out)
	}
}
