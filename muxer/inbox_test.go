package muxer

import (
	"testing"

	"bramleyshunt/messenger"
)

// TestInbox checks the order, the bound and the token of an inbox.
func TestInbox(t *testing.T) {
	b := newInbox()
	for i := range inboxFrames {
		if !b.put(Message{Kind: messenger.Kind(i % 100)}) {
			t.Fatalf("refused message %d", i)
		}
	}
	if b.put(Message{}) {
		t.Fatal("took a message beyond its bound")
	}
	for i := range inboxFrames {
		<-b.ready
		msg, ok := b.take()
		if !ok || msg.Kind != messenger.Kind(i%100) {
			t.Fatalf("message %d is %v, %v", i, msg.Kind, ok)
		}
	}
	if _, ok := b.take(); ok || len(b.ready) > 0 {
		t.Fatal("an empty inbox gives more")
	}
}
