package messenger

import "time"

// Place asks another entry, which knows the counts of all entries best, for the target of a
// request that the sender has admitted.
type Place struct {
	Node           string        `msgpack:"node"` // entry that sends the request
	Service        string        `msgpack:"service"`
	Prompt         int           `msgpack:"prompt"`  // tokens
	Output         int           `msgpack:"output"`  // tokens
	Exclude        []string      `msgpack:"exclude"` // targets that failed or refused it, and those that the sender may not send to now
	Prefill        time.Duration `msgpack:"prefill"` // on one target
	PrefillTargets int           `msgpack:"targets"` // that should share the prefill
	Objective      time.Duration `msgpack:"objective"`
	MaxGap         time.Duration `msgpack:"gap"`
	PassTime       time.Duration `msgpack:"pass"`
	Queued         time.Duration `msgpack:"queued"` // so far

	Regions  []string `msgpack:"regions,omitempty"`  // that the targets must lie in; empty for any
	ID       string   `msgpack:"id,omitempty"`       // of this question, which the receiver may keep while no target accepts the request; empty if it must not
	Use      int      `msgpack:"use,omitempty"`      // of the request's account in the fleet, in thousandths of its share
	Priority int      `msgpack:"priority,omitempty"` // higher is served first
	// Of a service whose engines keep finished prompts:
	PrefixHashes []uint64 `msgpack:"prefixes,omitempty"` // of the prompt's prefixes, shortest first
	PromptBytes  int      `msgpack:"bytes,omitempty"`
	Cache        int      `msgpack:"cache,omitempty"` // tokens of finished prompts that an engine keeps
}

// Placed answers a Place. Without a target, none accepts the request now.
type Placed struct {
	Target  *PlacedTarget  `msgpack:"target"`
	Helpers []PlacedTarget `msgpack:"helpers"`
	Running int            `msgpack:"running"`          // known requests at the target
	Entries int            `msgpack:"entries"`          // whose requests were known
	Age     time.Duration  `msgpack:"age"`              // of the oldest report of them
	Relay   string         `msgpack:"relay"`            // node name of the entry that answers
	Cached  int            `msgpack:"cached,omitempty"` // prompt tokens expected in the target's prefix cache
}

// PlacedTarget is a target of a request, and the tokens of memory to reserve there if it
// helps.
type PlacedTarget struct {
	ID          string `msgpack:"id"`
	Incarnation uint64 `msgpack:"incarnation"`
	Memory      int    `msgpack:"memory"`
}
