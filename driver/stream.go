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
	firstLineBytes = 4 << 10
	maxLineBytes   = 16 << 20
)

// answer reads the stream of one run. Sequence numbers must follow on after.
func (d *Driver) answer(ctx context.Context, c call, after uint64, emit func([]byte) error) (Result, error) {
	var res Result
	ended := false
	err := d.stream(ctx, c, func(seq uint64, data []byte) (bool, error) {
		if seq != after+1 {
			return false, coder.Errorf(coder.EngineFailed, "event %d follows %d", seq, after)
		}
		after = seq
		end, err := endOf(data)
		if err != nil {
			return false, err
		}
		if end == nil {
			return false, emit(data)
		}
		ended = true
		res = Result{Usage: messenger.Usage(end.Usage), Done: end.Done, Export: end.Export}
		if end.Error != nil {
			return true, end.Error.err()
		}
		return true, nil
	})
	if err == nil && !ended {
		err = coder.Errorf(coder.TargetLost, "stream ended after event %d", after)
	}
	return res, err
}

// endOf returns the End that data is, or nil if it is a Text event.
func endOf(data []byte) (*End, error) {
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
	case e.Done == "" && e.Error == nil:
		return nil, coder.Errorf(coder.EngineFailed, "event is neither text nor end")
	default:
		return &e.End, nil
	}
}

// stream reads server-sent events until take says that it is done, an error, or
// the end of the stream.
func (d *Driver) stream(ctx context.Context, c call, take func(seq uint64, data []byte) (bool, error)) error {
	if c.header == nil {
		c.header = http.Header{}
	}
	c.header.Set("Accept", "text/event-stream")
	resp, g, err := d.open(ctx, c)
	if err != nil {
		return err
	}
	defer g.close()
	defer func() { _ = resp.Body.Close() }()
	body := download{resp.Body, g}
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(io.LimitReader(body, maxBodyBytes))
		return refusal(resp.StatusCode, data)
	}
	var taken error
	done, err := events(body, func(seq uint64, data []byte) (bool, error) {
		var done bool
		done, taken = take(seq, data)
		return done, taken
	})
	var malformed *coder.Error
	if taken == nil && errors.As(err, &malformed) {
		taken = malformed
	}
	if taken != nil {
		return taken
	}
	if err != nil || ctx.Err() != nil && !done {
		return g.fault(err)
	}
	return nil
}

// events splits a stream into events; lines that start with a colon are keepalives.
func events(r io.Reader, take func(seq uint64, data []byte) (bool, error)) (bool, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, firstLineBytes), maxLineBytes)
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
			if done, err := take(seq, bytes.Clone(value)); done || err != nil {
				return done, err
			}
		}
	}
	return false, lines.Err()
}
