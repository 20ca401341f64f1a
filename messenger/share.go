package messenger

// Share reports to the other entries the requests that an entry has in flight, by target,
// and the rate limits that it has observed.
type Share struct {
	Node  string `msgpack:"node"`
	Sends []Sent `msgpack:"sends"`

	Limits []Limit `msgpack:"limits,omitempty"`
}

// Limit is a rate limit that an entry has observed in an answer of a target.
type Limit struct {
	Target      uint64  `msgpack:"target"`      // hash of the target's id
	Incarnation uint64  `msgpack:"incarnation"` // of the target
	Rate        float64 `msgpack:"rate"`        // requests per second that the target accepts from all entries together; zero if it named none
	Age         int     `msgpack:"age"`         // milliseconds since the answer
}

// Sent counts the requests in flight of one entry at one target.
type Sent struct {
	_msgpack       struct{} `msgpack:",as_array"`
	Target         uint64   // hash of the target's id
	InFlight       int      // number of requests
	PendingPrefill int      // milliseconds of prefill still outstanding
	Memory         int      // tokens of engine memory reserved
	Unsplit        int      // of InFlight, those whose prompt is not split across a gang
	MinGap         int      // milliseconds, shortest inter-token gap allowed by a stream of InFlight; zero if none sets one
}
