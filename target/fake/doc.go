// Package fake provides fake model engines and plain services, for the demo and the tests.
package fake
