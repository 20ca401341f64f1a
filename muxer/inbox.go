package muxer

import "sync"

// inbox queues the received messages of a stream. It allocates on demand, as most
// streams carry only one message.
type inbox struct {
	ready chan struct{} // holds a value while the queue is not empty

	mu    sync.Mutex
	queue []Message
}

func newInbox() *inbox { return &inbox{ready: make(chan struct{}, 1)} }

// put appends a message. It reports false if the queue holds maxInbox messages.
func (b *inbox) put(msg Message) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) >= maxInbox {
		return false
	}
	b.queue = append(b.queue, msg)
	b.signal()
	return true
}

// take removes the oldest message. It reports false if the queue is empty.
func (b *inbox) take() (Message, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) == 0 {
		return Message{}, false
	}
	msg := b.queue[0]
	b.queue[0] = Message{}
	b.queue = b.queue[1:]
	if len(b.queue) > 0 {
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
