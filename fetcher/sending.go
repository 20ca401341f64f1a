package fetcher

import (
	"context"
	"net/http/httptrace"
	"sync"
)

// sending records whether a request was sent whole. net/http may send it on several
// connections, one after the other; the last one counts.
type sending struct {
	mu    sync.Mutex
	conn  *conn         // that it is sent on, nil if it is not watched
	ended chan struct{} // closed once the request was written or could not be
	err   error
}

// begin records that the request is about to be written to a connection.
func (s *sending) begin(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended, s.err = make(chan struct{}), nil
	if s.conn = watched(info.Conn); s.conn != nil {
		s.conn.begin()
	}
}

// chunked reports whether an answer of HTTP/1.0 was read from a watched connection and has a
// field that frames its body.
func (s *sending) chunked() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn != nil && s.conn.chunked()
}

// end records the outcome of writing the request.
func (s *sending) end(info httptrace.WroteRequestInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.ended:
	default:
		s.err = info.Err
		close(s.ended)
	}
}

// wait returns an error unless the request was written whole. It returns soon after the end
// of the answer, as net/http closes the connection then, or when done is closed.
func (s *sending) wait(done <-chan struct{}) error {
	s.mu.Lock()
	ended := s.ended
	s.mu.Unlock()
	select {
	case <-ended:
	case <-done:
		return context.Canceled
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}
