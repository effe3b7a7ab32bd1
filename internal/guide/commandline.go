package guide

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// commandLine is a parsed command line. It supports only what the pages use of
// the shell: words, single quotes, ">FILE", "2>FILE" and "&".
type commandLine struct {
	words []string
	// stdout and stderr name the files that the streams are redirected to. They
	// are empty without a redirection.
	stdout string
	stderr string
	// background is set by "&".
	background bool
}

// parseCommandLine returns an error for a command without words and for an
// unclosed quote.
func parseCommandLine(text string) (*commandLine, error) {
	words, err := splitWords(text)
	if err != nil {
		return nil, err
	}
	l := &commandLine{}
	for _, w := range words {
		switch {
		case w == "&":
			l.background = true
		case strings.HasPrefix(w, "2>"):
			l.stderr = w[2:]
		case strings.HasPrefix(w, ">"):
			l.stdout = w[1:]
		default:
			l.words = append(l.words, w)
		}
	}
	if len(l.words) == 0 {
		return nil, errors.New("empty command")
	}
	return l, nil
}

// splitWords splits a command at spaces. Single quotes protect spaces within a
// word.
func splitWords(text string) ([]string, error) {
	var words []string
	var b strings.Builder
	quoted, inWord := false, false
	for _, c := range text {
		switch {
		case c == '\'':
			quoted = !quoted
			inWord = true
		case c == ' ' && !quoted:
			if inWord {
				words = append(words, b.String())
			}
			b.Reset()
			inWord = false
		default:
			b.WriteRune(c)
			inWord = true
		}
	}
	if quoted {
		return nil, errors.New("unclosed single quote")
	}
	if inWord {
		words = append(words, b.String())
	}
	return words, nil
}
