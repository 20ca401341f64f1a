package muxer

import (
	"testing"

	"bramleyshunt/messenger"
)

// TestInbox checks that an inbox keeps the order, refuses messages beyond its bound
// and signals while it is not empty.
func TestInbox(t *testing.T) {
	b := newInbox()
	for i := range maxInbox {
		if !b.put(Message{Kind: messenger.Kind(i % 100)}) {
			t.Fatalf("message %d was refused", i)
		}
	}
	if b.put(Message{}) {
		t.Fatal("message beyond maxInbox was accepted")
	}
	for i := range maxInbox {
		<-b.ready
		msg, ok := b.take()
		if !ok || msg.Kind != messenger.Kind(i%100) {
			t.Fatalf("message %d has kind %v, ok %v", i, msg.Kind, ok)
		}
	}
	if _, ok := b.take(); ok || len(b.ready) > 0 {
		t.Fatal("empty inbox returned a message or signals one")
	}
}
