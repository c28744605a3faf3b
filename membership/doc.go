// Package membership keeps one node's view of the targets and decides changes of the log's members.
package membership
