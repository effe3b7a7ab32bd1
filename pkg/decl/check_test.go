package decl

import (
	"regexp"
	"testing"

	"pgregory.net/rapid"
)

// TestFormats guards against a check that accepts a name that can't be used in
// store keys and URLs, or a digest that the lookup of tokens can't find, and
// against one that rejects a valid name or digest. The regular expressions
// define the formats.
func TestFormats(t *testing.T) {
	name := regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	digest := regexp.MustCompile(`^[0-9a-f]{64}$`)
	rapid.Check(t, func(t *rapid.T) {
		s := rapid.StringMatching(`([A-Za-z0-9._-]|[é/ \n%]?){0,66}|[0-9a-f]{63,65}|[0-9a-g]{64}|[0-9A-F]{64}`).Draw(t, "text")
		if validName(s) != name.MatchString(s) {
			t.Errorf("name %q: %t", s, validName(s))
		}
		if validDigest(s) != digest.MatchString(s) {
			t.Errorf("digest %q: %t", s, validDigest(s))
		}
	})
}
