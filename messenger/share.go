package messenger

// Share is all that an entry has at targets, for the other entries.
type Share struct {
	Node  string `msgpack:"node"`
	Sends []Sent `msgpack:"sends"`
}

// Sent is what one entry has at one target.
type Sent struct {
	_msgpack struct{} `msgpack:",as_array"`
	Target   uint64   // hash of the target's id
	Flying   int      // requests
	Reading  int      // milliseconds of prompts that are still to be read
	Held     int      // tokens of memory
	Tight    int      // of Flying, those whose prompt is read in one piece
	Gap      int      // milliseconds, shortest pause that a stream of Flying allows; zero for none
}
