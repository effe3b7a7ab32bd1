package decl

import (
	"regexp"
	"testing"

	"pgregory.net/rapid"
)

// TestFormats guards against a name or digest that the checks accept and store
// keys, URLs or the lookup of tokens don't, and the other way round.
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
