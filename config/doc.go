// Package config parses the base file and a site's overlay, merges and validates them, and returns the intended state as typed values.
package config
