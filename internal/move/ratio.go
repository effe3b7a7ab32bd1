package move

import "math"

// odds are the alternative hypotheses: how many times larger the odds of a bad
// request are on the new version. The test combines all of them, so it is fast
// for a version that always fails and still detects a doubled rate.
var odds = [...]float64{2, 5, 25, 200}

// ratios holds a log likelihood ratio for each of odds.
type ratios [len(odds)]float64

func (r *ratios) add(s ratios) {
	for i := range r {
		r[i] += s[i]
	}
}

func (r *ratios) clip(limit float64) {
	for i := range r {
		r[i] = min(r[i], limit)
	}
}

// lower reduces each ratio to at most that of s.
func (r *ratios) lower(s ratios) {
	for i := range r {
		r[i] = min(r[i], s[i])
	}
}

// compareCounts returns the log likelihood ratios of x bad requests among n of
// the new version, given y bad ones among o of the old version. The total of
// bad requests is held fixed (Fisher's noncentral hypergeometric distribution
// against the central one), so the rate of the old version cancels out: a
// cause that makes both versions bad is no evidence.
func compareCounts(n, x, o, y uint64) ratios {
	var r ratios
	bad := x + y
	if bad == 0 || n == 0 || o == 0 {
		return r
	}
	low := bad - min(bad, o)
	high := min(bad, n)
	if low == high {
		return r
	}
	// Terms are relative to the one for low. The last sum is for equal odds.
	var sums [len(odds) + 1]scaledSum
	for i := range sums {
		sums[i].reset()
	}
	for k := low; k < high; k++ {
		ratio := float64(n-k) * float64(bad-k) / (float64(k+1) * float64(o+k+1-bad))
		for i, o := range odds {
			sums[i].next(ratio * o)
		}
		sums[len(odds)].next(ratio)
	}
	equal := sums[len(odds)].log()
	for i := range odds {
		r[i] = float64(x-low)*logOdds[i] - (sums[i].log() - equal)
	}
	return r
}

// scaledSum sums terms that are each given as a multiple of the previous one. It
// scales them by a common factor to avoid overflow.
type scaledSum struct {
	term  float64
	total float64
	// scale is the logarithm of the common factor.
	scale float64
}

const (
	scaleLimit  = 1e200
	scaleFactor = 1e-200
)

func (s *scaledSum) reset() { s.term, s.total = 1, 1 }

func (s *scaledSum) next(ratio float64) {
	s.term *= ratio
	s.total += s.term
	if s.total > scaleLimit {
		s.term *= scaleFactor
		s.total *= scaleFactor
		s.scale -= math.Log(scaleFactor)
	}
}

func (s *scaledSum) log() float64 { return math.Log(s.total) + s.scale }

var logOdds = func() (l ratios) {
	for i, o := range odds {
		l[i] = math.Log(o)
	}
	return l
}()

// logSum computes the logarithm of a sum of exponentials. The zero value is an
// empty sum.
type logSum struct {
	largest float64
	total   float64
}

func (s *logSum) add(v float64) {
	if s.total == 0 {
		s.largest, s.total = v, 1
		return
	}
	if v > s.largest {
		s.total = s.total*math.Exp(s.largest-v) + 1
		s.largest = v
		return
	}
	if v > s.largest-40 {
		s.total += math.Exp(v - s.largest)
	}
}

func (s *logSum) value() float64 {
	if s.total == 0 {
		return math.Inf(-1)
	}
	return s.largest + math.Log(s.total)
}
