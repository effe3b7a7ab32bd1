// Package hedge decides about hedges, that is second attempts beside slow ones: when one
// is due, whether it pays, and whether the limit of all VMs permits it. VMs exchange
// nothing for the limit: each takes its share by the number of enrolled VMs.
package hedge
