// Package target holds the clients for model engines and plain services.
package target
