// Package throttle keeps the requests of all routers together within the limits that targets announce.
package throttle
