package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// earlyCommand is the command whose process subscribes when this package is initialised.
const earlyCommand = "platform"

// A channel with room for one signal loses none: further signals of the same kind ask for the same.
var stop, reload = make(chan os.Signal, 1), make(chan os.Signal, 1)

// This package imports only the standard library, and its path comes before those of third-party modules, so that it is initialised before them.
func init() {
	if len(os.Args) > 1 && os.Args[1] == earlyCommand {
		Subscribe()
	}
}

// Subscribe returns the channels of the signals that stop and reload the process, including those received since the first subscription.
func Subscribe() (stops, reloads <-chan os.Signal) {
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	return stop, reload
}
