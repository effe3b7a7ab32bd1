// Command clementinectl checks, compares and submits the operators'
// declaration and shows the state of an entry VM.
//
// It exits with 0 on success, 1 after a failure, 2 for wrong usage or a faulty
// declaration, and 3 when another change came first.
package main
