// Package signals subscribes to the signals that stop and reload a process, before other packages are initialised.
package signals
