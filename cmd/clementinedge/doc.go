// Command clementinedge runs one entry VM on the users' platform. It exits with
// 0 after a complete shutdown, 1 after a failure and 2 on wrong usage or
// settings.
package main
