package alarm

import "time"

// Earlier returns the earlier one of two times.
func Earlier(t, u time.Time) time.Time {
	if u.Before(t) {
		return u
	}
	return t
}

// Later returns the later one of two times.
func Later(t, u time.Time) time.Time {
	if t.Before(u) {
		return u
	}
	return t
}
