package guide

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// bodyMax bounds an answer in bytes.
const bodyMax = 16 << 20

// curl sends one request as curl does with the options -s, -i, -H and -d.
func curl(ctx context.Context, args []string, out io.Writer) error {
	var url, body string
	method := http.MethodGet
	show := false
	header := http.Header{}
	for i := 0; i < len(args); i++ {
		value := func() string {
			i++
			if i < len(args) {
				return args[i]
			}
			return ""
		}
		switch a := args[i]; {
		case a == "-s":
		case a == "-i" || a == "-si":
			show = true
		case a == "-H":
			name, text, _ := strings.Cut(value(), ": ")
			header.Add(name, text)
		case a == "-d":
			body = value()
			method = http.MethodPost
		case strings.HasPrefix(a, "http://127."):
			url = a
		default:
			return errors.Newf("curl: unsupported argument %q", a)
		}
	}
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Header = header
	// The connection is not reused, like that of a process.
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if show {
		head(out, resp)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, bodyMax))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s\n", bytes.TrimRight(data, "\n"))
	return err
}

// head writes the status and the headers in the order of their names.
func head(out io.Writer, resp *http.Response) {
	fmt.Fprintf(out, "%s %s\n", resp.Proto, resp.Status)
	names := make([]string, 0, len(resp.Header))
	for n := range resp.Header {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		fmt.Fprintf(out, "%s: %s\n", n, resp.Header.Get(n))
	}
	fmt.Fprintln(out)
}
