// Package simvms is the platform's simulated list of VMs, served over HTTP. The
// list lags: it shows the VMs as they were a configurable time ago.
//
// GET /vms answers with vms, each with name, kind, service, address, domain,
// region and state. POST /vms changes the list; its body has op and, by op:
//
//	add       vm, which replaces the one of its name
//	remove    vm with a name
//	leave     vm with a name, which is listed as leaving from then on
//	lag       lag in milliseconds
//	down, up  begin and end an outage, in which GET answers with 503
package simvms
