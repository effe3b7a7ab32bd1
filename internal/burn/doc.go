// Package burn counts how often services meet their objectives and reports how
// fast they use up their error budgets. The burn rate of a window is the bad
// fraction divided by 1 - target: at 1 the budget is used up exactly, and at 20
// with a target of 95% all outcomes are bad.
//
// A Ledger holds the counts of one VM; Merge combines the replies of all VMs
// into a Report. Neither reads the clock or does I/O, and neither is safe for
// concurrent use.
//
// Memory: a ledger allocates at most 64 rows of 48 bytes for each pair of service
// and workspace, and 560 bytes for each workspace that was refused. With
// allocation slack and map entries that is under 4 KiB per pair, so 33,000
// workspaces that are busy in every interval take about 130 MB. A pair has no row
// for an interval without requests, and a pair without rows is removed.
package burn
