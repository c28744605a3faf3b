// Package membership keeps a node's directory of the targets, detects outliers among them, and decides changes of the members of the
// replicated log.
package membership
