package messenger

// Share reports to the other entries the requests that an entry has in flight, by target.
type Share struct {
	Node  string `msgpack:"node"`
	Sends []Sent `msgpack:"sends"`
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
