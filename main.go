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
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(commander.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
