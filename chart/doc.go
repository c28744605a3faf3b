// Package chart implements finite state machines that are defined in YAML files. The state machines of nodes, targets and replicas are
// embedded from the files in this folder.
package chart
