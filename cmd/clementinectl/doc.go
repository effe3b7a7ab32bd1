// Command clementinectl checks, compares and submits the operators' declaration
// and shows the state of an entry VM.
//
// It exits with 0 on success, 1 after a failure, 2 on wrong usage or a faulty
// declaration, and 3 if the declaration changed since the given revision.
package main
