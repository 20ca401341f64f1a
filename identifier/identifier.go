// Package identifier finds the client account of a bearer token. Configurations
// hold only the hash of a token.
package identifier

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"bramleyshunt/coder"
	"bramleyshunt/configurer"
)

// Identifier maps tokens to client accounts. The zero value knows none.
type Identifier struct {
	byHash map[string]string
}

// New returns the Identifier of a configuration's accounts with their tokens and keys.
func New(accounts map[string]configurer.Account) *Identifier {
	m := make(map[string]string, len(accounts))
	for name, a := range accounts {
		for _, token := range append([]string{a.Token}, a.Keys...) {
			if token != "" {
				m[strings.ToLower(token)] = name
			}
		}
	}
	return &Identifier{byHash: m}
}

// Hash returns the form of a token that configurations hold.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Identify returns the account of a token, or code Unauthenticated.
func (i *Identifier) Identify(token string) (string, error) {
	name, ok := i.byHash[Hash(token)]
	if token == "" || !ok {
		return "", coder.Errorf(coder.Unauthenticated, "")
	}
	return name, nil
}

// Allow returns code Forbidden if an account may not use a service.
func (i *Identifier) Allow(a configurer.Account, service string) error {
	if len(a.Services) > 0 && !slices.Contains(a.Services, service) {
		return coder.Errorf(coder.Forbidden, "service %q", service)
	}
	return nil
}
