// Package placement decides which models are loaded where, within the bounds of the configuration, memory and weight store.
package placement
