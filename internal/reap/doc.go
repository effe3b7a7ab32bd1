// Package reap tracks the runs of cancelled attempts until their engines are
// known to have ended them. A cancel closes the attempt's connection, which an
// engine does not learn of if the connection has gone silent. The package
// decides when an engine is ordered to stop a run over another connection; it
// reads no clock and sends nothing.
package reap
