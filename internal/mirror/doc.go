// Package mirror holds a VM's copy of the store's keys, with the latest change of each
// key, and what stays in force after a restoration of the store. It gives other VMs the
// changes after a revision, together with the age of the store's answer, and refuses
// when it can't name all of them.
package mirror
