// Package admit decides which waiting request is served next and which is
// refused early: bounded queues for each class and workspace, weighted fair
// order between workspaces, and a predicted wait against the deadline.
package admit
