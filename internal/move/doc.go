// Package move decides how the traffic of a service shifts from one version to
// another. Evidence, the plan and the present time go in; shares, orders and a
// verdict come out. The package opens no socket and reads no clock.
//
// Gate bounds an unproven version on each VM by share and by count. Set holds
// evidence counters that merge by maximum. Judge compares the new version with
// the old one over the same minutes. Controller moves through the stages and
// ends the move by one compare-and-swap of its record.
package move
