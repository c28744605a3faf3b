// Package loadmodel is a discrete-event simulation of a workload on modelled engines. Scheduling and load balancing decisions come from the
// code of the real processes; network and engines are modelled.
package simulation
