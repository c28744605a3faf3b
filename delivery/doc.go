// Package delivery decides which answers of targets may continue what the caller of a request has received.
package delivery
