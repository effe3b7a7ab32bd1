// Package logger writes the structured log of a process, in bounded numbers of lines and
// without ever blocking the caller.
package logger
