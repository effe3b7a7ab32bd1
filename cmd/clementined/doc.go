// Command clementined runs one entry VM. It exits with 0 after a complete
// shutdown, 1 after a failure and 2 on wrong usage or settings.
package main
