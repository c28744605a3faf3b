// Package routing holds the configuration that decides which service answers a request, and finds the route of a request.
package routing
