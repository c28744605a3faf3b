// Package throttle keeps the requests of all routers together within the limits that targets announce, and within the quotas of workspaces.
package throttle
