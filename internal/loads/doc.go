// Package loads tests how several VMs together serve scripted patterns of load and
// failures. Its tests drive the decision modules against a model of engines and callers
// on a virtual clock. The package exports nothing.
package loads
