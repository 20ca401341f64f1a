package demonstrator

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"os"
	"path/filepath"
)

// bearerTokens maps each placeholder in the embedded configuration files to the
// bearer token whose hash replaces it.
var bearerTokens = map[string]string{
	"CREWS":      accountToken,
	"ORGANISERS": "demo-organisers",
	"OFFICE":     "demo-office",
}

func hashToken(token string) []byte {
	h := sha256.Sum256([]byte(token))
	return h[:]
}

// writeConfig writes the embedded configuration files to folder, with every
// placeholder replaced by the hash of its token.
func writeConfig(folder string) error {
	entries, err := configFiles.ReadDir("config")
	if err != nil {
		return fmt.Errorf("embedded folder: %w", err)
	}
	for _, e := range entries {
		data, err := configFiles.ReadFile("config/" + e.Name())
		if err != nil {
			return fmt.Errorf("embedded file: %w", err)
		}
		for placeholder, token := range bearerTokens {
			data = bytes.ReplaceAll(data, []byte(`"`+placeholder+`"`), []byte(`"`+hexHash(token)+`"`))
		}
		if err := os.WriteFile(filepath.Join(folder, e.Name()), data, 0o600); err != nil {
			return fmt.Errorf("write configuration: %w", err)
		}
	}
	return nil
}
