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

// First returns the earlier one of two times, of which a zero one stands for never.
func First(t, u time.Time) time.Time {
	if t.IsZero() || !u.IsZero() && u.Before(t) {
		return u
	}
	return t
}
