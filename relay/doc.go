// Package relay serves callers: it takes each request to a target that can run it, and answers it whole or refuses it.
package relay
