package burn

// span is the number of minutes that are kept: three days.
const span = 3 * 24 * 60

// level is the width of the rows up to an age, both in minutes. Widths are
// under a tenth of the windows that are summed from them: 5 of 60 minutes, 20
// of 360 and 240 of 4,320.
type level struct {
	width uint16
	until uint32
}

var levels = [...]level{
	{
		width: 1,
		until: 10,
	},
	{
		width: 5,
		until: 60,
	},
	{
		width: 20,
		until: 360,
	},
	{
		width: 240,
		until: span,
	},
}

// align returns the row that holds a minute of the given age; ok is false when
// it is too old to keep.
func align(minute, age uint32) (start uint32, width uint16, ok bool) {
	for _, l := range levels {
		if age < l.until {
			return minute - minute%uint32(l.width), l.width, true
		}
	}
	return 0, 0, false
}

// ageOf returns the age in minutes, 0 for a minute in the future.
func ageOf(now, minute uint32) uint32 {
	if minute >= now {
		return 0
	}
	return now - minute
}

// row is the counts of the minutes from start to start+width-1.
type row struct {
	start  uint32
	width  uint16
	counts counts
}

// middle returns the minute that stands for the row in windows.
func (r *row) middle() uint32 { return r.start + uint32(r.width-1)/2 }

// sheet is the rows of one service and workspace, in order of time.
type sheet struct {
	rows []row
}

// add counts into the row of the minute. A minute before the end of the last
// row, after a clock was set back, is counted into the last row.
func (s *sheet) add(minute uint32, c *counts) {
	if n := len(s.rows); n == 0 || s.rows[n-1].start+uint32(s.rows[n-1].width) <= minute {
		if n == cap(s.rows) {
			s.fold(minute)
			s.resize()
		}
		s.rows = append(s.rows, row{
			start: minute,
			width: 1,
		})
	}
	s.rows[len(s.rows)-1].counts.add(c)
}

// resize makes room for a few rows. At most 56 rows are left after a fold, so
// there is never room for more than 64.
func (s *sheet) resize() {
	s.rows = append(make([]row, 0, len(s.rows)+8), s.rows...)
}

// fold merges rows that have grown old into wider ones and removes those older
// than the span.
func (s *sheet) fold(now uint32) {
	kept := s.rows[:0]
	for _, r := range s.rows {
		start, width, ok := align(r.start, ageOf(now, r.start))
		if !ok {
			continue
		}
		if width > r.width {
			r.start, r.width = start, width
		}
		if n := len(kept); n > 0 && kept[n-1].start == r.start {
			kept[n-1].width = max(kept[n-1].width, r.width)
			kept[n-1].counts.add(&r.counts)
			continue
		}
		kept = append(kept, r)
	}
	s.rows = kept
	if cap(kept) > len(kept)+16 {
		s.resize()
	}
}

// sum adds up the rows of the last minutes.
func (s *sheet) sum(now, minutes uint32) counts {
	var c counts
	for i := range s.rows {
		if r := &s.rows[i]; ageOf(now, r.middle()) < minutes {
			c.add(&r.counts)
		}
	}
	return c
}

// words is the number of 64-bit words for a bit for each minute of the span.
const words = span/64 + 1

// minutes is the set of refused minutes of a workspace in the last span.
type minutes struct {
	last uint32
	bits [words]uint64
}

func place(minute uint32) (word int, bit uint64) {
	n := minute % (words * 64)
	return int(n / 64), 1 << (n % 64)
}

// set adds a minute; one that is older than the span is ignored.
func (m *minutes) set(minute uint32) {
	if minute > m.last {
		// Clears the bits of minutes that leave the span.
		from := m.last + 1
		if minute-m.last > words*64 {
			from = minute - words*64 + 1
		}
		for v := from; v <= minute; v++ {
			w, b := place(v)
			m.bits[w] &^= b
		}
		m.last = minute
	}
	if m.last-minute >= span {
		return
	}
	w, b := place(minute)
	m.bits[w] |= b
}

// has reports whether the minute is in the set.
func (m *minutes) has(minute uint32) bool {
	if minute > m.last || m.last-minute >= span {
		return false
	}
	w, b := place(minute)
	return m.bits[w]&b != 0
}

// count returns the number of refused minutes in the last n up to now.
func (m *minutes) count(now, n uint32) int {
	k := 0
	for i := uint32(0); i < n && i <= now; i++ {
		if m.has(now - i) {
			k++
		}
	}
	return k
}
