package muxer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"bramleyshunt/coder"
	"bramleyshunt/framer"
)

const (
	// Version is the protocol version carried in the hello.
	Version    = 1
	nonceBytes = 32
)

// hello opens a connection in each direction.
type hello struct {
	Version int    `msgpack:"version"`
	Node    string `msgpack:"node"`
	Nonce   []byte `msgpack:"nonce"`
	Proof   []byte `msgpack:"proof"` // of the accepting end
}

// prove runs the handshake: both nonces enter both proofs, and each proof names
// its side, so that neither can be replayed or reflected.
func prove(f *framer.Framer, cfg Config, dialing bool) (string, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return "", fmt.Errorf("nonce: %w", err)
	}
	if dialing {
		return proveDial(f, cfg, nonce)
	}
	return proveAccept(f, cfg, nonce)
}

func proveDial(f *framer.Framer, cfg Config, nonce []byte) (string, error) {
	if err := put(f, &hello{Version: Version, Node: cfg.Node, Nonce: nonce}); err != nil {
		return "", err
	}
	var h hello
	if err := get(f, &h); err != nil {
		return "", err
	}
	if err := h.check(proof(cfg.Key, "accept", nonce, h.Nonce, h.Node)); err != nil {
		return "", err
	}
	return h.Node, put(f, &hello{Version: Version, Proof: proof(cfg.Key, "dial", nonce, h.Nonce, cfg.Node)})
}

func proveAccept(f *framer.Framer, cfg Config, nonce []byte) (string, error) {
	var h hello
	if err := get(f, &h); err != nil {
		return "", err
	}
	answer := &hello{Version: Version, Node: cfg.Node, Nonce: nonce, Proof: proof(cfg.Key, "accept", h.Nonce, nonce, cfg.Node)}
	if err := put(f, answer); err != nil {
		return "", err
	}
	var last hello
	if err := get(f, &last); err != nil {
		return "", err
	}
	return h.Node, last.check(proof(cfg.Key, "dial", h.Nonce, nonce, h.Node))
}

func (h *hello) check(want []byte) error {
	if h.Version != Version {
		return coder.Errorf(coder.BadVersion, "peer speaks %d, this end %d", h.Version, Version)
	}
	if !hmac.Equal(h.Proof, want) {
		return coder.Errorf(coder.BadProof, "peer %q", h.Node)
	}
	return nil
}

func proof(key []byte, side string, dial, accept []byte, node string) []byte {
	h := hmac.New(sha256.New, key)
	for _, part := range [][]byte{[]byte(side), dial, accept, []byte(node)} {
		_, _ = h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
		_, _ = h.Write(part)
	}
	return h.Sum(nil)
}

func put(f *framer.Framer, h *hello) error {
	p, err := msgpack.Marshal(h)
	if err != nil {
		return fmt.Errorf("encode hello: %w", err)
	}
	return f.Write(p)
}

func get(f *framer.Framer, h *hello) error {
	p, err := f.Read()
	if err != nil {
		return &coder.Error{Code: coder.BadFrame, Cause: err}
	}
	if err := msgpack.Unmarshal(p, h); err != nil {
		return coder.Errorf(coder.BadFrame, "hello: %v", err)
	}
	return nil
}
