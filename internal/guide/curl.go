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

// maxBodyBytes limits how much of a response body is read.
const maxBodyBytes = 16 << 20

// curl sends one request and writes the response to out, as the program of that
// name does. It supports the options -s, -i, -si, -H and -d, and only URLs on
// loopback.
func curl(ctx context.Context, args []string, out io.Writer) error {
	var url, body string
	method := http.MethodGet
	showHeader := false
	header := http.Header{}
	for i := 0; i < len(args); i++ {
		value := func() string {
			i++
			if i < len(args) {
				return args[i]
			}
			return ""
		}
		switch arg := args[i]; {
		case arg == "-s":
		case arg == "-i" || arg == "-si":
			showHeader = true
		case arg == "-H":
			name, text, _ := strings.Cut(value(), ": ")
			header.Add(name, text)
		case arg == "-d":
			body = value()
			method = http.MethodPost
		case strings.HasPrefix(arg, "http://127."):
			url = arg
		default:
			return errors.Newf("curl: unsupported argument %q", arg)
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header = header
	// Each run of the real curl opens a new connection.
	request.Close = true
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if showHeader {
		writeHeader(out, resp)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s\n", bytes.TrimRight(data, "\n"))
	return err
}

// writeHeader writes the status line and the headers, sorted by name so that
// the output is stable.
func writeHeader(out io.Writer, resp *http.Response) {
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
