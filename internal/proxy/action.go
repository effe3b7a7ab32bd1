package proxy

import (
	"time"

	"clementinelink.example/clementinelink/internal/blame"
	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/judge"
	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/reap"
	"clementinelink.example/clementinelink/internal/stand"
)

// ActionKind is the kind of work that an Action asks its driver to do.
type ActionKind uint8

// The kinds of action.
const (
	// Send sends the request to an upstream as an attempt.
	Send ActionKind = iota
	// Cancel abandons an attempt and closes its connection.
	Cancel
	// Copy asks an engine to copy an attempt's run to another engine.
	Copy
	// QueryState queries the state of an engine. Action.Instance is "", or the id
	// of the incarnation that answered at the engine's address.
	QueryState
	// QueryID queries the id of the engine at an upstream's address.
	QueryID
	// QueryPrompt queries how many tokens of a prompt an engine has cached.
	QueryPrompt
	// StopRun orders an engine to stop the run of a cancelled attempt.
	StopRun
	// ReportOutcome reports the outcome of an attempt at a service whose traffic is
	// moving to another version.
	ReportOutcome
	// ReportCrash reports a run of a prompt that ended with its engine, and
	// ReportSurvival one that its engine has survived.
	ReportCrash
	ReportSurvival
	// Denied reports that the budget denies a repeat of the request, or that its attempt
	// is kept since there is no better place.
	Denied
	// SendHead sends the caller the head of a stream.
	SendHead
	// SendPiece sends the caller a piece of a stream.
	SendPiece
	// Close ends the caller's response after a complete stream.
	Close
	// Deliver sends the caller a complete answer of an upstream.
	Deliver
	// Refuse sends the caller a problem response that this VM generates.
	Refuse
	// Abort closes the caller's connection, because the response has started
	// and can't be completed.
	Abort
	// Forget discards a request whose caller has disconnected.
	Forget
)

// String returns the kind's name. The names of final kinds are label values of
// metrics and fields of log lines.
func (k ActionKind) String() string {
	return [...]string{"send", "cancel", "copy", "query-state", "query-id", "query-prompt", "stop-run", "report-outcome", "report-crash", "report-survival", "denied", "send-head", "send-piece", "close", "deliver", "refuse", "break", "forget"}[k]
}

// ExpectsResult reports whether the action queries an engine, asks it for a copy
// or orders it to stop a run, so that the driver must report the result as an
// event.
func (k ActionKind) ExpectsResult() bool { return k >= Copy && k <= StopRun }

// Final reports whether the action ends its request.
func (k ActionKind) Final() bool { return k >= Close }

// Action is one instruction of the core to its driver. The accessors state the
// kinds for which a field is set.
type Action struct {
	kind    ActionKind
	number  uint64
	attempt int
	// reason is the cause of the action in a few words.
	reason string

	upstream  *pool.Upstream
	instance  string
	holder    *pool.Upstream
	copied    bool
	source    string
	handle    string
	stream    bool
	position  int
	deadline  time.Time
	rank      int
	prompt    string
	path      string
	timeout   time.Duration
	workspace string
	route     string
	class     string

	answer  *Answer
	bytes   []byte
	problem *errs.Problem
	judged  judge.Attempt
	stop    reap.Order
	run     blame.Run
}

// Kind returns what the driver has to do.
func (a Action) Kind() ActionKind { return a.kind }

// Number returns the number of the request, or 0 if the action belongs to none.
func (a Action) Number() uint64 { return a.number }

// Attempt returns the number of the attempt of Send, Cancel and Copy, starting
// at 1.
func (a Action) Attempt() int { return a.attempt }

// Reason returns the cause of the action in a few words, for logs.
func (a Action) Reason() string { return a.reason }

// Upstream returns the target of Send, Copy, QueryState, QueryID and
// QueryPrompt, the upstream whose attempt Cancel ends, and that of StopRun, or nil if
// it is no longer listed. Only the goroutine that owns the core may use it.
func (a Action) Upstream() *pool.Upstream { return a.upstream }

// Instance returns the id of the incarnation that must run the request of Send,
// or the id that QueryState inquires about.
func (a Action) Instance() string { return a.instance }

// Gate returns the gate for the message of Send, which may be nil.
func (a Action) Gate() *stand.Gate { return a.upstream.Gate() }

// Holder returns the upstream that must receive a copy of the run of Send or
// Copy, or nil.
func (a Action) Holder() *pool.Upstream { return a.holder }

// Copied reports whether Send resumes a run from a copy at the upstream.
func (a Action) Copied() bool { return a.copied }

// Source returns the address of the engine that made an on-demand copy and the
// handle of that copy, for a Send that resumes from it. Both are "" for a
// standby copy.
func (a Action) Source() (address, handle string) { return a.source, a.handle }

// Stream reports whether the answer to Send is a stream of pieces.
func (a Action) Stream() bool { return a.stream }

// Position returns the index of the last piece that the caller has, after which
// the answer to Send must continue, or 0.
func (a Action) Position() int { return a.position }

// Deadline returns the deadline of Send, after which the upstream must abandon
// the request.
func (a Action) Deadline() time.Time { return a.deadline }

// Prompt returns the identifier of the prompt that QueryPrompt queries.
func (a Action) Prompt() string { return a.prompt }

// Path returns the URL path that QueryID requests.
func (a Action) Path() string { return a.path }

// Left returns the number of repeats that the budget of Denied holds, of which some
// may be left to others.
func (a Action) Left() int { return a.position }

// Timeout returns the timeout of Copy, QueryState, QueryID, QueryPrompt and
// StopRun, and the time after which the budget of Denied holds more.
func (a Action) Timeout() time.Duration { return a.timeout }

// Rank returns the priority of Send at the upstream; 0 is the most urgent.
func (a Action) Rank() int { return a.rank }

// Workspace returns the name of the caller's workspace, or "".
func (a Action) Workspace() string { return a.workspace }

// Route returns the name of the request's route, or "".
func (a Action) Route() string { return a.route }

// Class returns the name of the route's kind, or "".
func (a Action) Class() string { return a.class }

// Answer returns the answer of SendHead and Deliver.
func (a Action) Answer() *Answer { return a.answer }

// Judged returns the attempt whose outcome ReportOutcome reports.
func (a Action) Judged() judge.Attempt { return a.judged }

// Stop returns the order of StopRun.
func (a Action) Stop() reap.Order { return a.stop }

// Run returns the run that ReportCrash and ReportSurvival report.
func (a Action) Run() blame.Run { return a.run }

// Bytes returns the encoded piece that SendPiece sends.
func (a Action) Bytes() []byte { return a.bytes }

// Problem returns the problem response that Refuse sends.
func (a Action) Problem() *errs.Problem { return a.problem }
