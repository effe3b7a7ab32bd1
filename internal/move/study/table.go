package study

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"

	"clementinelink.example/clementinelink/internal/move"
)

// Cell sums the runs of one case.
type Cell struct {
	c      Case
	runs   int
	done   int
	back   int
	late   int
	splits int
	met    []int
	served []int
	times  []float64
}

// Repeat runs a case with the seeds from first on, on a number of goroutines.
func Repeat(c Case, first uint64, runs, workers int) *Cell {
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
	cell := &Cell{
		c:    c,
		runs: runs,
	}
	for _, r := range results {
		cell.add(r)
	}
	slices.Sort(cell.met)
	slices.Sort(cell.served)
	slices.Sort(cell.times)
	return cell
}

func (c *Cell) add(r Result) {
	switch r.state {
	case move.Done.String():
		c.done++
	case move.RolledBack.String():
		c.back++
	}
	if !r.onTime {
		c.late++
	}
	if r.finals != 1 {
		c.splits++
	}
	c.met = append(c.met, r.met)
	c.served = append(c.served, r.served)
	c.times = append(c.times, r.settled)
}

// Case returns the case.
func (c *Cell) Case() Case { return c.c }

// Runs returns the number of runs.
func (c *Cell) Runs() int { return c.runs }

// Done returns the runs whose new version took over.
func (c *Cell) Done() int { return c.done }

// RolledBack returns the runs whose old version kept the traffic.
func (c *Cell) RolledBack() int { return c.back }

// Late returns the runs in which a VM's traffic did not follow the final state
// at the deadline.
func (c *Cell) Late() int { return c.late }

// Splits returns the runs whose store did not hold exactly one final record.
func (c *Cell) Splits() int { return c.splits }

// Met returns a quantile of the requests that the new version served badly.
func (c *Cell) Met(q float64) int { return c.met[min(int(q*float64(len(c.met))), len(c.met)-1)] }

// Time returns a quantile of the seconds from the start to the final state.
func (c *Cell) Time(q float64) float64 {
	return c.times[min(int(q*float64(len(c.times))), len(c.times)-1)]
}

// Print writes a table of cells.
func Print(w io.Writer, cells []*Cell) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(t, "case\truns\tdone\trolled back\tlate\tnot one final\tbad requests p50\tp99\tseconds p50"); err != nil {
		return err
	}
	for _, c := range cells {
		if _, err := fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\n", c.c, c.runs, c.done, c.back, c.late, c.splits,
			c.Met(0.5), c.Met(0.99), c.Time(0.5)); err != nil {
			return err
		}
	}
	return t.Flush()
}
