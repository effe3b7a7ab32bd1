// Package quota divides among VMs the rate of requests that an upstream accepts from
// all of them together, and paces the requests of one VM. VMs exchange nothing for
// it: each computes its share from the names of the enrolled VMs.
package quota
