// Package config reads the base file and a site's overlay, merges and checks them, and gives the intended state as typed values.
package config
