// Package throttle keeps the requests of all routers together within the limits that targets announce, and within the allowances of workspaces.
package throttle
