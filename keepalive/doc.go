// Package keepalive decides how long an unused replica stays loaded, from the model's own history of gaps.
package keepalive
