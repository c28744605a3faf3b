// Package node wires one process together: traffic, control log, executor and listeners.
package node
