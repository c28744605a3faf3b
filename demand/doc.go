// Package demand counts the recent requests for a unit and their work, without I/O.
package demand
