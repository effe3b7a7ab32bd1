// Package reuse decodes JSON values of which most is the same as the time before, such
// as the versions of a configuration. What was decoded before is not decoded again.
package reuse
