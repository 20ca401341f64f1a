package driver

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

const (
	initialLineBytes = 4 << 10
	maxLineBytes     = 16 << 20
)

// streamAnswer reads the stream of one run, whose sequence numbers must continue from
// after without a gap.
func (d *Driver) streamAnswer(ctx context.Context, c call, after uint64, emit func([]byte) error) (Result, error) {
	var res Result
	ended := false
	err := d.stream(ctx, c, func(seq uint64, data []byte) (bool, error) {
		if seq != after+1 {
			return false, coder.Errorf(coder.EngineFailed, "event %d follows %d", seq, after)
		}
		after = seq
		end, err := parseEnd(data)
		if err != nil {
			return false, err
		}
		if end == nil {
			return false, emit(data)
		}
		ended = true
		res = Result{Usage: messenger.Usage(end.Usage), FinishReason: end.FinishReason, Export: end.Export}
		if end.Error != nil {
			return true, end.Error.codedError()
		}
		return true, nil
	})
	if err == nil && !ended {
		err = coder.Errorf(coder.TargetLost, "stream ended after event %d", after)
	}
	return res, err
}

// parseEnd decodes the last event of a run. It returns nil if data is a Text event.
func parseEnd(data []byte) (*End, error) {
	var e struct {
		Text *string `json:"text"`
		End
	}
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, coder.Errorf(coder.EngineFailed, "event: %v", err)
	}
	switch {
	case e.Text != nil:
		return nil, nil
	case e.FinishReason == "" && e.Error == nil:
		return nil, coder.Errorf(coder.EngineFailed, "event is neither text nor end")
	default:
		return &e.End, nil
	}
}

// stream passes server-sent events to handle until handle returns true or an error,
// or the stream ends.
func (d *Driver) stream(ctx context.Context, c call, handle func(seq uint64, data []byte) (bool, error)) error {
	if c.header == nil {
		c.header = http.Header{}
	}
	c.header.Set("Accept", "text/event-stream")
	resp, w, err := d.open(ctx, c)
	if err != nil {
		return err
	}
	defer w.close()
	defer func() { _ = resp.Body.Close() }()
	body := download{resp.Body, w}
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(io.LimitReader(body, maxBodyBytes))
		return responseError(resp.StatusCode, data)
	}
	var handlerErr error
	done, err := readEvents(body, func(seq uint64, data []byte) (bool, error) {
		var done bool
		done, handlerErr = handle(seq, data)
		return done, handlerErr
	})
	var malformed *coder.Error
	if handlerErr == nil && errors.As(err, &malformed) {
		handlerErr = malformed
	}
	if handlerErr != nil {
		return handlerErr
	}
	if err != nil || ctx.Err() != nil && !done {
		return w.codedError(err)
	}
	return nil
}

// readEvents passes each event of a stream to handle. Lines that start with a colon are
// keepalives and are ignored.
func readEvents(r io.Reader, handle func(seq uint64, data []byte) (bool, error)) (bool, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, initialLineBytes), maxLineBytes)
	var seq uint64
	for lines.Scan() {
		key, value, _ := bytes.Cut(lines.Bytes(), []byte(": "))
		switch string(key) {
		case "id":
			n, err := strconv.ParseUint(string(value), 10, 64)
			if err != nil {
				return false, coder.Errorf(coder.EngineFailed, "event id: %v", err)
			}
			seq = n
		case "data":
			if done, err := handle(seq, bytes.Clone(value)); done || err != nil {
				return done, err
			}
		}
	}
	return false, lines.Err()
}
