// Package switcher names the parts of the policy that can be switched off, to measure
// what each is worth. No part that keeps a promise to callers or operators is among them.
package switcher

import (
	"fmt"
	"slices"
	"strings"

	"bramleyshunt/router"
	"bramleyshunt/scheduler"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Part -linecomment -output=part_string.go

// Part is a part of the policy.
type Part uint8

// Parts of the policy. Those up to SpareTargets concern targets that report their slots,
// those from Lanes on other targets.
const (
	FirstFit        Part = iota // first-fit
	SplitPrefill                // split-prefill
	RefuseHeavy                 // refuse-heavy
	KeepApart                   // keep-apart
	GroupDecode                 // group-decode
	IdleQueue                   // idle-queue
	SpareTargets                // spare-targets
	PassWaiting                 // pass-waiting
	RefuseLate                  // refuse-late
	ShareCounts                 // share-counts
	AskRelay                    // ask-relay
	HoldAtStart                 // hold-at-start
	GiveUpSilent                // give-up-silent
	RememberTargets             // remember-targets
	Lanes                       // lanes
	OwnSends                    // own-sends
	PrefixCache                 // prefix-cache
	WaitBound                   // wait-bound
	ClassWait                   // class-wait
	RoomCheck                   // room-check
	Aging                       // aging
	PrefixWeighing              // prefix-weighing
)

const parts = int(PrefixWeighing) + 1

// help describes the parts by what is switched on.
var help = [parts]string{
	FirstFit:        "fill targets in rank order with prompts that are not split",
	SplitPrefill:    "split long prompts among several targets",
	RefuseHeavy:     "let prompts that would delay every stream wait for idle targets, then refuse them",
	KeepApart:       "place long prefills beside streams only as far as their allowed gaps leave room",
	GroupDecode:     "decode for split prompts on few targets, so that the others prefill without delaying streams",
	IdleQueue:       "let prefills queue at targets without streams, as far as the objective allows",
	SpareTargets:    "fill some targets more than needed where there are many entries",
	PassWaiting:     "place requests behind one that waits for targets",
	RefuseLate:      "refuse requests that are predicted to miss their deadline",
	ShareCounts:     "tell other entries the requests in flight",
	AskRelay:        "have one entry of each zone place the requests of the others there",
	HoldAtStart:     "hold requests until the first confirmed view",
	GiveUpSilent:    "try another target when one sends nothing",
	RememberTargets: "restore the recorded targets when a keeper starts",
	Lanes:           "keep long and short prompts on their lanes",
	OwnSends:        "add own requests to the reported load",
	PrefixCache:     "prefer targets with a cached prefix",
	WaitBound:       "pass over targets with a long predicted wait",
	ClassWait:       "leave longer prompts out of the wait of shorter ones",
	RoomCheck:       "check memory and wait at the entry",
	Aging:           "reduce reported tokens by what was prefilled since",
	PrefixWeighing:  "weigh a cached prefix by its probability, at several targets",
}

// Help returns one line for each part.
func Help() string {
	var b strings.Builder
	for p := range parts {
		fmt.Fprintf(&b, "  %-17s %s\n", Part(p), help[p])
	}
	return b.String()
}

// Names returns the names of all parts.
func Names() []string {
	var out []string
	for p := range parts {
		out = append(out, Part(p).String())
	}
	return out
}

// Switcher is a set of parts that are switched off. In the zero value all are on.
type Switcher struct {
	off [parts]bool
}

// Parse returns the set of the named parts, or an error that lists the known names.
func Parse(names []string) (Switcher, error) {
	var s Switcher
	for _, name := range names {
		i := slices.Index(Names(), name)
		if i < 0 {
			return s, fmt.Errorf("the policy has no part %q; there are %s", name, strings.Join(Names(), ", "))
		}
		s.off[i] = true
	}
	return s, nil
}

// Off reports whether a part is switched off.
func (s Switcher) Off(p Part) bool { return s.off[p] }

// Names returns the names of the parts that are switched off.
func (s Switcher) Names() []string {
	var out []string
	for p := range parts {
		if s.off[p] {
			out = append(out, Part(p).String())
		}
	}
	return out
}

// Router returns the features of the router that are switched off.
func (s Switcher) Router() router.Features {
	return router.Features{
		Fill: s.Off(FirstFit), Pieces: s.Off(SplitPrefill), Heavy: s.Off(RefuseHeavy), Apart: s.Off(KeepApart),
		Group: s.Off(GroupDecode), IdleQueue: s.Off(IdleQueue), Spare: s.Off(SpareTargets), Lanes: s.Off(Lanes), OwnSends: s.Off(OwnSends),
		Cached: s.Off(PrefixCache), WaitBound: s.Off(WaitBound), ClassWait: s.Off(ClassWait), RoomCheck: s.Off(RoomCheck), Aging: s.Off(Aging),
		Weighing: s.Off(PrefixWeighing),
	}
}

// Scheduler returns the features of the scheduler that are switched off.
func (s Switcher) Scheduler() scheduler.Features {
	return scheduler.Features{PassWaiting: s.Off(PassWaiting), RefuseLate: s.Off(RefuseLate)}
}
