// Package routing defines the configuration of routes and services, and matches requests to routes.
package routing
