// Package access decides which workspace a request belongs to, and whether the router knows enough of the newest keys to serve it.
package access
