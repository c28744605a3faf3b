// Package explain extracts the history of one request from the logs of all processes.
package explain
