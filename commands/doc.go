// Package commands implements the command line of celerylanding; each command has its own file.
package commands
