// Package simvms implements a simulation of the platform's list of VMs, served
// over HTTP. The list lags: it shows the VMs as they were a configurable time
// ago.
//
// GET /vms answers with vms, each with name, kind, service, address, domain,
// region and state. POST /vms changes the list; its body has op and, depending on
// op:
//
//	add       vm, which replaces the one with its name
//	remove    vm with a name
//	leave     vm with a name, whose state becomes leaving
//	lag       lag in milliseconds
//	down, up  begin and end an outage, during which GET answers with 503
package simvms
