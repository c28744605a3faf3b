// Package reach decides whether this router reaches targets, and through which other router it reaches them if it doesn't.
package reach
