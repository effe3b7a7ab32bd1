package burn

// Objective is a service level objective of a contract.
type Objective uint8

// The objectives, in the order of their lines in reports.
const (
	// Complete is for responses; good ones are complete by their deadline.
	Complete Objective = iota
	// FirstToken is for first tokens; good ones arrive within the contract's time.
	FirstToken
	// TokenGap is for the times between tokens.
	TokenGap
	// Resume is for resumes of a stream after the loss of its attempt.
	Resume
	// Refused is for requests: an accepted one is good, and one that was refused
	// without its caller's fault is bad.
	Refused
	// objectives is the number of objectives.
	objectives
)

// The wire names of counters that are not objectives.
const (
	// refusedMinutesCounter marks a run of refused minutes; its bad count is the
	// length of the run.
	refusedMinutesCounter = "minutes"
	// omittedCounter marks the number of workspaces that a reply omits, which is
	// its bad count.
	omittedCounter = "omitted"
)

var objectiveNames = [objectives]string{
	Complete:   "whole",
	FirstToken: "first",
	TokenGap:   "gap",
	Resume:     "resume",
	Refused:    "refused",
}

// String returns the objective's name in reports.
func (o Objective) String() string { return objectiveNames[o] }

// parseObjective returns the objective with the name.
func parseObjective(name string) (Objective, bool) {
	for i, n := range objectiveNames {
		if n == name {
			return Objective(i), true
		}
	}
	return 0, false
}

// count holds the outcomes of one objective.
type count struct {
	good uint32
	bad  uint32
}

// counts holds the outcomes of all objectives.
type counts [objectives]count

func (c *counts) add(d *counts) {
	for i := range c {
		c[i].good += d[i].good
		c[i].bad += d[i].bad
	}
}

// Sample holds the outcomes of one request for the objectives of its service.
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

// Count adds one outcome. A request may have several gaps and resumes.
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

// Outcomes returns the numbers of good and bad outcomes of an objective.
func (s *Sample) Outcomes(o Objective) (good, bad int) {
	return int(s.counts[o].good), int(s.counts[o].bad)
}
