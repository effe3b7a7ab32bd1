package burn

// Objective is one promise of a contract.
type Objective uint8

// The objectives.
const (
	// Whole counts responses that are complete by their deadline.
	Whole Objective = iota
	// First counts first tokens within the contract's time.
	First
	// Gap counts times between tokens.
	Gap
	// Resume counts resumes after a loss.
	Resume
	// Refused counts requests that were refused though their caller was not at
	// fault; an accepted request is good.
	Refused
	objectives
)

// The names on the wire of counters that are not objectives.
const (
	// minutesName marks a run of refused minutes; bad is its length.
	minutesName = "minutes"
	// omittedName marks the number of workspaces that a reply leaves out.
	omittedName = "omitted"
)

var names = [objectives]string{
	Whole:   "whole",
	First:   "first",
	Gap:     "gap",
	Resume:  "resume",
	Refused: "refused",
}

// String returns the objective's name in reports.
func (o Objective) String() string { return names[o] }

// named returns the objective with the name.
func named(name string) (Objective, bool) {
	for i, n := range names {
		if n == name {
			return Objective(i), true
		}
	}
	return 0, false
}

// count is the outcomes of one objective.
type count struct {
	good uint32
	bad  uint32
}

// counts is the outcomes of all objectives.
type counts [objectives]count

func (c *counts) add(d *counts) {
	for i := range c {
		c[i].good += d[i].good
		c[i].bad += d[i].bad
	}
}

// Sample is what one request showed of its service's objectives.
type Sample struct {
	service   string
	workspace string
	counts    counts
}

// NewSample returns an empty sample for a request of a workspace.
func NewSample(service, workspace string) *Sample {
	return &Sample{
		service:   service,
		workspace: workspace,
	}
}

// Count adds one outcome. A request may have many gaps and resumes.
func (s *Sample) Count(o Objective, good bool) {
	if good {
		s.counts[o].good++
	} else {
		s.counts[o].bad++
	}
}

// Service returns the service's name.
func (s *Sample) Service() string { return s.service }

// Workspace returns the workspace's name.
func (s *Sample) Workspace() string { return s.workspace }

// Of returns the outcomes of an objective.
func (s *Sample) Of(o Objective) (good, bad int) {
	return int(s.counts[o].good), int(s.counts[o].bad)
}
