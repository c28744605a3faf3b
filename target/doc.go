// Package target provides the HTTP clients for model engines and plain services.
package target
