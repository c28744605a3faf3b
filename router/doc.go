// Package router decides admission, queueing, choice of target, retries and quarantine of requests; it does no I/O.
package router
