// Command clementined is the process of one entry VM.
package main
