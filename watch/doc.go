// Package watch follows the leader's feed from another node, and finds the leader again when it changes.
package watch
