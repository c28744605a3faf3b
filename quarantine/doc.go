// Package quarantine finds what requests have in common that crash their targets.
package quarantine
