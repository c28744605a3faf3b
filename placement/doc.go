// Package placement decides which models are loaded on which targets, within the limits of the configuration, the targets' memory and the
// weight store.
package placement
