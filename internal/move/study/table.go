package study

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"

	"clementinelink.example/clementinelink/internal/move"
)

// Summary holds the results of all runs of one case.
type Summary struct {
	c            Case
	runs         int
	done         int
	rolledBack   int
	late         int
	inconsistent int
	badRequests  []int
	served       []int
	finalAt      []float64
}

// Repeat runs a case with consecutive seeds from first on, in the given number of
// goroutines.
func Repeat(c Case, first uint64, runs, workers int) *Summary {
	results := make([]Result, runs)
	var group sync.WaitGroup
	for w := range workers {
		group.Go(func() {
			for i := w; i < runs; i += workers {
				results[i] = Run(c, first+uint64(i))
			}
		})
	}
	group.Wait()
	summary := &Summary{
		c:    c,
		runs: runs,
	}
	for _, r := range results {
		summary.add(r)
	}
	slices.Sort(summary.badRequests)
	slices.Sort(summary.served)
	slices.Sort(summary.finalAt)
	return summary
}

func (s *Summary) add(r Result) {
	switch r.state {
	case move.Done.String():
		s.done++
	case move.RolledBack.String():
		s.rolledBack++
	}
	if !r.onTime {
		s.late++
	}
	if r.finalRecords != 1 {
		s.inconsistent++
	}
	s.badRequests = append(s.badRequests, r.badRequests)
	s.served = append(s.served, r.served)
	s.finalAt = append(s.finalAt, r.finalAt)
}

// Case returns the case.
func (s *Summary) Case() Case { return s.c }

// Runs returns the number of runs.
func (s *Summary) Runs() int { return s.runs }

// Done returns the number of runs after which the new version serves all traffic.
func (s *Summary) Done() int { return s.done }

// RolledBack returns the number of runs that were rolled back.
func (s *Summary) RolledBack() int { return s.rolledBack }

// Late returns the number of runs in which a VM's traffic did not follow the
// final state at the deadline.
func (s *Summary) Late() int { return s.late }

// Inconsistent returns the number of runs whose store did not hold exactly one
// final record.
func (s *Summary) Inconsistent() int { return s.inconsistent }

// BadRequests returns a quantile, from 0 to 1, of the number of requests that the
// new version served badly.
func (s *Summary) BadRequests(q float64) int {
	return s.badRequests[min(int(q*float64(len(s.badRequests))), len(s.badRequests)-1)]
}

// FinalAt returns a quantile, from 0 to 1, of the time from the start to the
// final record, in seconds.
func (s *Summary) FinalAt(q float64) float64 {
	return s.finalAt[min(int(q*float64(len(s.finalAt))), len(s.finalAt)-1)]
}

// Print writes the summaries as a table.
func Print(w io.Writer, summaries []*Summary) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(t, "case\truns\tdone\trolled back\tlate\tnot one final\tbad requests p50\tp99\tseconds p50"); err != nil {
		return err
	}
	for _, c := range summaries {
		if _, err := fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\n", c.c, c.runs, c.done, c.rolledBack, c.late, c.inconsistent,
			c.BadRequests(0.5), c.BadRequests(0.99), c.FinalAt(0.5)); err != nil {
			return err
		}
	}
	return t.Flush()
}
