// Package tree arranges the entry VMs in a tree along which changes of the store
// spread: between regions, between the failure domains of a region, and within a
// failure domain. Each VM computes the same tree from the same members.
package tree
