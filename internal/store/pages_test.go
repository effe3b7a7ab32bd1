package store_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"clementinelink.example/clementinelink/internal/store"
	"github.com/cockroachdb/datadriven"
)

// TestListAcrossRestoration guards against a list whose pages are of two histories of the
// store. Each line of the input is the store's next page, "ERA REVISION KEY=NUMBER ...",
// with "more" at the end if others follow.
func TestListAcrossRestoration(t *testing.T) {
	datadriven.RunTest(t, "testdata/pages", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		pages := strings.Split(d.Input, "\n")
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprintf(&out, "list after %q\n", r.URL.Query().Get("after"))
			w.Header().Set("Era", strings.Fields(pages[0])[0])
			_, _ = w.Write([]byte(pages[0]))
			pages = pages[1:]
		}))
		defer server.Close()
		entries, revision, err := store.New(server.URL, 1).WithWire(pagesWire(t)).List(t.Context(), "")
		for _, e := range entries {
			fmt.Fprintf(&out, "%s at %s\n", e.Key(), store.Text(e.Revision()))
		}
		fmt.Fprintln(&out, resultText(err, "revision %s", store.Text(revision)))
		return out.String()
	})
}

// pagesWire decodes the pages of TestListAcrossRestoration.
func pagesWire(t *testing.T) store.Wire {
	return store.Wire{
		List: func(_, after string) store.Call {
			return store.NewCall(http.MethodGet, "/", url.Values{
				"after": {after},
			}, nil)
		},
		Era: func(h http.Header) (uint64, bool, error) { return store.ParseEra(h.Get("Era")) },
		Page: func(answer []byte) (store.Page, error) {
			fields := strings.Fields(string(answer))
			var entries []store.Entry
			for _, f := range fields[2:] {
				if key, number, ok := strings.Cut(f, "="); ok {
					entries = append(entries, store.NewEntry(key, nil, position(t, number), ""))
				}
			}
			return store.NewPage(entries, position(t, fields[1]), fields[len(fields)-1] == "more"), nil
		},
	}
}
