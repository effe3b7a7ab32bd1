package guide

import "strings"

// ellipsis matches any text within a line. A line that consists only of it
// matches any number of lines.
const ellipsis = "..."

// Match reports whether the output lines got match the expected lines want,
// which may contain ellipses.
func Match(want, got []string) bool {
	if len(want) == 0 {
		return len(got) == 0
	}
	if strings.TrimSpace(want[0]) == ellipsis {
		for i := 0; i <= len(got); i++ {
			if Match(want[1:], got[i:]) {
				return true
			}
		}
		return false
	}
	return len(got) > 0 && matchLine(want[0], got[0]) && Match(want[1:], got[1:])
}

// matchLine reports whether one output line matches an expected line.
func matchLine(want, got string) bool {
	parts := strings.Split(want, ellipsis)
	if len(parts) == 1 {
		return want == got
	}
	first, last := parts[0], parts[len(parts)-1]
	if !strings.HasPrefix(got, first) || !strings.HasSuffix(got[len(first):], last) {
		return false
	}
	got = got[len(first) : len(got)-len(last)]
	for _, p := range parts[1 : len(parts)-1] {
		i := strings.Index(got, p)
		if i < 0 {
			return false
		}
		got = got[i+len(p):]
	}
	return true
}
