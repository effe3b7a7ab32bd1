// Package enrol keeps a VM's own key in the store, so that all VMs know how many share the
// common limits and which serve changes of the store. Core decides on the calls; Duty
// performs them.
package enrol
