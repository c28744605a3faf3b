// Package fake holds stand-ins for model engines and plain services, for the demo and the tests.
package fake
