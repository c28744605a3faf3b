// Package router implements admission, queueing, load balancing, retry rules and quarantine of requests; it does no I/O.
package router
