// Package explain finds in the logs of all processes what happened to one request, in order.
package explain
