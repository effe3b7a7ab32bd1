// Package simvms is the platform's simulated list of VMs, served over HTTP. The
// list lags: it shows the VMs as they were a configurable time ago.
package simvms
