// Package blame finds the prompt parts that crash each engine that answers them,
// and agrees on them among the VMs.
//
// Each VM reports the runs that its engines did not survive to a few VMs, which
// collect the reports by part. A part is accused once engines of several prompts
// were lost one after the other and none survived the part since. The collector
// then asks all VMs whether they have seen one of the accused parts survive, and
// charges those that none has. Requests with a charged set of parts are refused.
//
// The package performs no input or output. Core decides, and its driver carries
// out the actions.
package blame
