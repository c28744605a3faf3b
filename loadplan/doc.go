// Package loadplan schedules model and adapter loads and unloads on model engines, for requests that wait and for predicted demand.
package loadplan
