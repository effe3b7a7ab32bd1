package burn

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// maxTextLines is the number of workspace lines in the text report, which is for
// people. The JSON report has all lines.
const maxTextLines = 100

// document is the JSON form of a report. The counts and rates of a line are in
// the order of Windows.
type document struct {
	Time     time.Time          `json:"time"`
	Windows  []string           `json:"windows"`
	Answered []string           `json:"answered"`
	Silent   []string           `json:"silent"`
	Omitted  uint64             `json:"omitted"`
	Lines    []documentLine     `json:"lines"`
	Refused  []documentRefusals `json:"refused"`
}

// documentLine is one row of a report. The workspace is empty for the total of
// the service.
type documentLine struct {
	Service   string    `json:"service"`
	Workspace string    `json:"workspace,omitempty"`
	Objective string    `json:"objective"`
	Target    float64   `json:"target"`
	Good      []uint64  `json:"good"`
	Bad       []uint64  `json:"bad"`
	Burn      []float64 `json:"burn"`
	State     string    `json:"state"`
	// rates is the array behind Burn.
	rates [len(windows)]float64
}

// documentRefusals holds the number of refused minutes of a workspace in each
// window.
type documentRefusals struct {
	Workspace string `json:"workspace"`
	Minutes   []int  `json:"minutes"`
}

func (r *Report) document() document {
	d := document{
		Time:     time.Unix(int64(r.now)*60, 0).UTC(),
		Windows:  windowNames[:],
		Answered: append([]string{}, r.answered...),
		Silent:   r.silent,
		Omitted:  r.omitted,
		Lines:    []documentLine{},
		Refused:  r.refusedCounts(),
	}
	for _, k := range r.sortedLines() {
		d.Lines = append(d.Lines, r.documentLine(k))
	}
	return d
}

func (r *Report) documentLine(k lineKey) documentLine {
	t := r.lines[k]
	v := documentLine{
		Service:   k.pair.service,
		Workspace: k.pair.workspace,
		Objective: k.objective.String(),
		Target:    r.target(k),
		Good:      t.good[:],
		Bad:       t.bad[:],
	}
	for i := range windows {
		v.rates[i] = r.rate(k, t.good[i], t.bad[i])
	}
	v.Burn = v.rates[:]
	v.State = r.state(v.rates)
	return v
}

// refusedCounts returns the refused minutes of each workspace, the most in the
// longest window first.
func (r *Report) refusedCounts() []documentRefusals {
	list := []documentRefusals{}
	for k, m := range r.refused {
		c := documentRefusals{
			Workspace: k,
		}
		for _, n := range windows {
			c.Minutes = append(c.Minutes, m.count(r.now, n))
		}
		list = append(list, c)
	}
	last := len(windows) - 1
	sort.Slice(list, func(i, j int) bool {
		if a, b := list[i].Minutes[last], list[j].Minutes[last]; a != b {
			return a > b
		}
		return list[i].Workspace < list[j].Workspace
	})
	return list
}

// JSON writes the report as a JSON object.
func (r *Report) JSON(w io.Writer) error {
	return errors.Wrap(json.NewEncoder(w).Encode(r.document()), "write burn report")
}

// Text writes the report as a table: all services, and the first 100 lines of
// workspaces whose state isn't ok.
func (r *Report) Text(w io.Writer) error {
	d := r.document()
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "Burn rate at %s from %d VMs\n", d.Time.Format(time.RFC3339), len(d.Answered))
	if len(d.Silent) > 0 {
		fmt.Fprintf(t, "No answer from %s: their requests are missing\n", strings.Join(d.Silent, ", "))
	}
	if d.Omitted > 0 {
		fmt.Fprintf(t, "At least %d workspaces are left out, for lack of space\n", d.Omitted)
	}
	fmt.Fprintf(t, "\nservice\tworkspace\tobjective\ttarget\t%s\tstate\n", strings.Join(d.Windows, "\t"))
	shown := 0
	for _, v := range d.Lines {
		if v.Workspace != "" {
			if v.State == "ok" || shown == maxTextLines {
				continue
			}
			shown++
		}
		textLine(t, &v)
	}
	if len(d.Refused) > 0 {
		fmt.Fprintf(t, "\nrefused minutes\t%s\n", strings.Join(d.Windows, "\t"))
	}
	for _, c := range d.Refused {
		fmt.Fprintf(t, "%s", c.Workspace)
		for _, n := range c.Minutes {
			fmt.Fprintf(t, "\t%d", n)
		}
		fmt.Fprintln(t)
	}
	return errors.Wrap(t.Flush(), "write burn report")
}

// textLine writes a row of the table; "-" marks a window without outcomes.
func textLine(w io.Writer, v *documentLine) {
	workspace := v.Workspace
	if workspace == "" {
		workspace = "all"
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%g", v.Service, workspace, v.Objective, v.Target)
	for i, b := range v.Burn {
		if v.Good[i]+v.Bad[i] == 0 {
			fmt.Fprint(w, "\t-")
		} else {
			fmt.Fprintf(w, "\t%.2f", b)
		}
	}
	fmt.Fprintf(w, "\t%s\n", v.State)
}
