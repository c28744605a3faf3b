// Package promptcache keeps a router's picture of the prompt parts that targets have in memory, and weighs what a request would save at a target
// against what reading the rest there displaces. It answers the load of few, long prompts that share their beginnings; short parts are left out.
package promptcache
