package guide

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// line is a command line, without a shell: words, redirections to files, and a
// last "&" for a process that goes on.
type line struct {
	words []string
	// out and errs are the files for standard output and standard error, or "".
	out    string
	errs   string
	behind bool
}

func parseLine(text string) (*line, error) {
	words, err := split(text)
	if err != nil {
		return nil, err
	}
	l := &line{}
	for _, w := range words {
		switch {
		case w == "&":
			l.behind = true
		case strings.HasPrefix(w, "2>"):
			l.errs = w[2:]
		case strings.HasPrefix(w, ">"):
			l.out = w[1:]
		default:
			l.words = append(l.words, w)
		}
	}
	if len(l.words) == 0 {
		return nil, errors.New("an empty command")
	}
	return l, nil
}

// split returns the words of a command; single quotes keep spaces.
func split(text string) ([]string, error) {
	var words []string
	var b strings.Builder
	quoted, open := false, false
	for _, c := range text {
		switch {
		case c == '\'':
			quoted = !quoted
			open = true
		case c == ' ' && !quoted:
			if open {
				words = append(words, b.String())
			}
			b.Reset()
			open = false
		default:
			b.WriteRune(c)
			open = true
		}
	}
	if quoted {
		return nil, errors.New("a quote is not closed")
	}
	if open {
		words = append(words, b.String())
	}
	return words, nil
}
