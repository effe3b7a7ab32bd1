// Package move decides how the traffic of a service moves from one version to
// another. Its inputs are request statistics, called evidence, the plan and the
// current time; its outputs are the new version's share, requests for engines
// and the result of the move. The package does no I/O and reads no clock.
//
// Gate limits the requests to an unproven version on each VM by share and by
// count. EvidenceSet holds evidence counters that merge by maximum. Evaluator
// compares the new version with the old one over the same minutes. Controller
// advances the move through its stages and ends it by a compare-and-swap of its
// record.
package move
