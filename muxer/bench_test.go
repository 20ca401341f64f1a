package muxer_test

import (
	"context"
	"net"
	"testing"

	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
)

// BenchmarkCall measures one exchange on a connection over loopback.
func BenchmarkCall(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = muxer.Serve(ctx, l, muxer.Config{}, echo)
	}()
	m, closer, err := muxer.Dial(ctx, l.Addr().String(), muxer.Config{})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		var out messenger.Cancelled
		if err := m.Call(ctx, messenger.KindCancel, &messenger.Cancel{Attempt: "x"}, &out); err != nil {
			b.Fatal(err)
		}
	}
	closer()
	cancel()
	<-done
}
