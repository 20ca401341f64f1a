// Command bramleyshunt is a serving layer in front of inference engines that receive
// prompts of widely different lengths. See README.md.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"bramleyshunt/commander"
)

func main() {
	// SIGHUP is caught from here to the end of the process: its default action would end
	// the process, with the requests that it runs.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(commander.Run(ctx, hup, os.Args[1:], os.Stdout, os.Stderr))
}
