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
	// Version is the protocol version exchanged in the handshake.
	Version    = 1
	nonceBytes = 32
)

// hello is a handshake message.
type hello struct {
	Version int    `msgpack:"version"`
	Node    string `msgpack:"node"`
	Nonce   []byte `msgpack:"nonce"`
	Proof   []byte `msgpack:"proof"` // set by the accepting end, and in the dialing end's second message
}

// handshake authenticates both ends by the fleet key and returns the peer's node
// name. Each proof covers both nonces and names its side, so that proofs can't be
// replayed or reflected.
func handshake(f *framer.Framer, cfg Config, dialing bool) (string, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return "", fmt.Errorf("generate nonce: %w", err)
	}
	if dialing {
		return dialHandshake(f, cfg, nonce)
	}
	return acceptHandshake(f, cfg, nonce)
}

func dialHandshake(f *framer.Framer, cfg Config, nonce []byte) (string, error) {
	if err := writeHello(f, &hello{Version: Version, Node: cfg.Node, Nonce: nonce}); err != nil {
		return "", err
	}
	var h hello
	if err := readHello(f, &h); err != nil {
		return "", err
	}
	if err := h.check(proof(cfg.Key, "accept", nonce, h.Nonce, h.Node)); err != nil {
		return "", err
	}
	return h.Node, writeHello(f, &hello{Version: Version, Proof: proof(cfg.Key, "dial", nonce, h.Nonce, cfg.Node)})
}

func acceptHandshake(f *framer.Framer, cfg Config, nonce []byte) (string, error) {
	var h hello
	if err := readHello(f, &h); err != nil {
		return "", err
	}
	answer := &hello{Version: Version, Node: cfg.Node, Nonce: nonce, Proof: proof(cfg.Key, "accept", h.Nonce, nonce, cfg.Node)}
	if err := writeHello(f, answer); err != nil {
		return "", err
	}
	var reply hello
	if err := readHello(f, &reply); err != nil {
		return "", err
	}
	return h.Node, reply.check(proof(cfg.Key, "dial", h.Nonce, nonce, h.Node))
}

func (h *hello) check(want []byte) error {
	if h.Version != Version {
		return coder.Errorf(coder.BadVersion, "peer has version %d, want %d", h.Version, Version)
	}
	if !hmac.Equal(h.Proof, want) {
		return coder.Errorf(coder.BadProof, "peer %q does not hold the fleet key", h.Node)
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

func writeHello(f *framer.Framer, h *hello) error {
	p, err := msgpack.Marshal(h)
	if err != nil {
		return fmt.Errorf("encode hello: %w", err)
	}
	return f.Write(p)
}

func readHello(f *framer.Framer, h *hello) error {
	p, err := f.Read()
	if err != nil {
		return &coder.Error{Code: coder.BadFrame, Cause: err}
	}
	if err := msgpack.Unmarshal(p, h); err != nil {
		return coder.Errorf(coder.BadFrame, "decode hello: %v", err)
	}
	return nil
}
