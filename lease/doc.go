// Package lease decides who may act as the executor of a failure domain, and until when.
package lease
