// Package tests holds the tests that need whole processes.
package tests
