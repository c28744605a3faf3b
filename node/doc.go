// Package node runs one node of the system: it connects the gateway, the control log, the executors and the listeners.
package node
