// Package simulation is a discrete-event simulation of a workload on modelled engines. Scheduling and load balancing decisions come from the
// code of the real processes; the network and the engines are modelled.
package simulation
