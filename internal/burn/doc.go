// Package burn counts how well services meet their objectives and reports how
// fast they use up their error budgets. The burn rate of a window is the bad
// fraction divided by 1 - target: at 1 the budget is used exactly, at 20 with a
// target of 95% everything is bad.
//
// A Ledger holds the counts of one VM; Merge combines the replies of all VMs
// into a Report. Neither reads a clock or does I/O, and one goroutine owns each.
//
// Memory: a ledger holds room for at most 64 rows of 48 bytes for each pair of service
// and workspace and, once it was refused, 560 bytes for each workspace. With
// slack and map entries that is under 4 KiB for each pair, so 33,000 workspaces
// that are busy in every interval take about 130 MB. A pair without a request
// in an interval holds no row for it, and one without rows is removed.
package burn
