// Package waking decides which model engine loads and unloads what, for the requests that wait and those that are expected.
package waking
