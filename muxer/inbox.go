package muxer

import "sync"

// inbox holds the messages of a stream that wait for their reader. It grows with
// what waits, as most streams carry one message only.
type inbox struct {
	ready chan struct{} // holds one token while messages wait

	mu      sync.Mutex
	waiting []Message
}

func newInbox() *inbox { return &inbox{ready: make(chan struct{}, 1)} }

// put adds a message. It reports false if inboxFrames wait already.
func (b *inbox) put(msg Message) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) >= inboxFrames {
		return false
	}
	b.waiting = append(b.waiting, msg)
	b.signal()
	return true
}

// take removes the oldest message. It reports false if none waits.
func (b *inbox) take() (Message, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) == 0 {
		return Message{}, false
	}
	msg := b.waiting[0]
	b.waiting[0] = Message{}
	b.waiting = b.waiting[1:]
	if len(b.waiting) > 0 {
		b.signal()
	}
	return msg, true
}

func (b *inbox) signal() {
	select {
	case b.ready <- struct{}{}:
	default:
	}
}
