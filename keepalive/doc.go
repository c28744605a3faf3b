// Package keepalive decides how long an idle replica stays loaded, from the model's history of gaps between requests.
package keepalive
