package burn

// spanMinutes is how long counts are kept: three days.
const spanMinutes = 3 * 24 * 60

// resolution is the width of the rows up to an age, both in minutes. Widths are
// less than a tenth of the windows that are summed from them: 5 of 60 minutes, 20
// of 360 and 240 of 4,320.
type resolution struct {
	width uint16
	until uint32
}

var resolutions = [...]resolution{
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
		until: spanMinutes,
	},
}

// align returns the start and width of the row that holds a minute of the given
// age; ok is false when the minute is too old to keep.
func align(minute, age uint32) (start uint32, width uint16, ok bool) {
	for _, l := range resolutions {
		if age < l.until {
			return minute - minute%uint32(l.width), l.width, true
		}
	}
	return 0, 0, false
}

// ageOf returns the age of a minute, 0 for one in the future.
func ageOf(now, minute uint32) uint32 {
	if minute >= now {
		return 0
	}
	return now - minute
}

// row holds the counts of the minutes from start to start+width-1.
type row struct {
	start  uint32
	width  uint16
	counts counts
}

// middle returns the middle minute, whose age decides to which windows the row
// belongs.
func (r *row) middle() uint32 { return r.start + uint32(r.width-1)/2 }

// series holds the rows of one service and workspace in chronological order.
type series struct {
	rows []row
}

// add adds counts to the row of the minute. A minute before the end of the last
// row, which occurs after the clock was set back, is counted in the last row.
func (s *series) add(minute uint32, c *counts) {
	if n := len(s.rows); n == 0 || s.rows[n-1].start+uint32(s.rows[n-1].width) <= minute {
		if n == cap(s.rows) {
			s.compact(minute)
			s.reallocate()
		}
		s.rows = append(s.rows, row{
			start: minute,
			width: 1,
		})
	}
	s.rows[len(s.rows)-1].counts.add(c)
}

// reallocate makes room for 8 more rows. At most 56 rows are left after a
// compaction, so that the capacity never exceeds 64.
func (s *series) reallocate() {
	s.rows = append(make([]row, 0, len(s.rows)+8), s.rows...)
}

// compact merges older rows into wider ones and removes those older than the
// span.
func (s *series) compact(now uint32) {
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
		s.reallocate()
	}
}

// sum returns the total of the rows in a window up to now, in minutes.
func (s *series) sum(now, window uint32) counts {
	var c counts
	for i := range s.rows {
		if r := &s.rows[i]; ageOf(now, r.middle()) < window {
			c.add(&r.counts)
		}
	}
	return c
}

// setWords is the number of 64-bit words that hold a bit per minute of the span.
const setWords = spanMinutes/64 + 1

// minuteSet is the set of minutes of the last span in which a workspace was
// refused, as a ring of bits.
type minuteSet struct {
	// last is the newest minute in the set.
	last uint32
	bits [setWords]uint64
}

// bitOf returns the index of the word and the mask of the bit of a minute.
func bitOf(minute uint32) (word int, bit uint64) {
	n := minute % (setWords * 64)
	return int(n / 64), 1 << (n % 64)
}

// set adds a minute, unless it is older than the span.
func (m *minuteSet) set(minute uint32) {
	if minute > m.last {
		// Clears the bits that are reused for the minutes after last.
		from := m.last + 1
		if minute-m.last > setWords*64 {
			from = minute - setWords*64 + 1
		}
		for v := from; v <= minute; v++ {
			w, b := bitOf(v)
			m.bits[w] &^= b
		}
		m.last = minute
	}
	if m.last-minute >= spanMinutes {
		return
	}
	w, b := bitOf(minute)
	m.bits[w] |= b
}

// has reports whether the minute is in the set.
func (m *minuteSet) has(minute uint32) bool {
	if minute > m.last || m.last-minute >= spanMinutes {
		return false
	}
	w, b := bitOf(minute)
	return m.bits[w]&b != 0
}

// count returns the number of minutes in the set among the last n up to now.
func (m *minuteSet) count(now, n uint32) int {
	k := 0
	for i := uint32(0); i < n && i <= now; i++ {
		if m.has(now - i) {
			k++
		}
	}
	return k
}
