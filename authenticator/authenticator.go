// Package authenticator authenticates bearer tokens and authorizes client accounts to use
// services. Configurations contain only the hashes of tokens.
package authenticator

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"bramleyshunt/coder"
	"bramleyshunt/configurer"
)

// Authenticator maps the hashes of tokens to client accounts. The zero value has no accounts.
type Authenticator struct {
	byHash map[string]string
}

// New returns an Authenticator for the tokens and keys of the given accounts.
func New(accounts map[string]configurer.Account) *Authenticator {
	byHash := make(map[string]string, len(accounts))
	for name, a := range accounts {
		for _, token := range append([]string{a.Token}, a.Keys...) {
			if token != "" {
				byHash[strings.ToLower(token)] = name
			}
		}
	}
	return &Authenticator{byHash: byHash}
}

// Hash returns the SHA-256 hash of a token in hexadecimal, the form used in configurations.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Identify returns the account that a token belongs to. It returns code Unauthenticated if
// there is none.
func (au *Authenticator) Identify(token string) (string, error) {
	name, ok := au.byHash[Hash(token)]
	if token == "" || !ok {
		return "", coder.Errorf(coder.Unauthenticated, "")
	}
	return name, nil
}

// Allow returns code Forbidden if an account may not use a service. An account that lists no
// services may use all.
func (au *Authenticator) Allow(a configurer.Account, service string) error {
	if len(a.Services) > 0 && !slices.Contains(a.Services, service) {
		return coder.Errorf(coder.Forbidden, "service %q", service)
	}
	return nil
}
