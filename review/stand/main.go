// Command stand plays the cases of the review that are scripts. It starts the project's
// own processes, and stands in for the platform, its targets, its callers and its operator.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitFailed = 2 // the case could not run
)

// maxRun bounds a case.
const maxRun = 110 * time.Second

// A play runs a case and reports whether its rule was broken. It leaves the disruption out
// unless trouble is set.
type play func(ctx context.Context, f *fleet, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"hangup":     playHangup,
	"quarantine": playQuarantine,
	"revoke":     playRevoke,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || plays[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRun)
	defer cancel()
	rec, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, trouble %v", args[0], trouble)
	broken, err := playCase(ctx, rec, plays[args[0]], trouble)
	switch {
	case err != nil:
		rec.line("the case could not run: %v", err)
		return exitFailed
	case broken:
		rec.line("result: the rule was broken")
		return exitBroken
	default:
		rec.line("result: the rule held")
		return exitHeld
	}
}

func playCase(ctx context.Context, rec *record, p play, trouble bool) (bool, error) {
	f, err := newFleet(rec)
	if err != nil {
		return false, err
	}
	defer f.close()
	broken, err := p(ctx, f, trouble)
	if err == nil {
		err = ctx.Err()
	}
	return broken, err
}

// sleep waits until the given time or the end of ctx.
func sleep(ctx context.Context, until time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(until)):
	}
}
