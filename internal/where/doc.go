// Package where explains where a VM would send a request, without sending it. It lets a
// copy of the VM's decision core decide about the request, so that the explanation follows
// from the same decisions and changes nothing.
package where
