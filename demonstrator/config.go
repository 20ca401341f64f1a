package demonstrator

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"os"
	"path/filepath"
)

// tokens are the bearer tokens behind the placeholders of the embedded folder.
var tokens = map[string]string{
	"CREWS":      accountToken,
	"ORGANISERS": "demo-organisers",
	"OFFICE":     "demo-office",
}

func sum(token string) []byte {
	h := sha256.Sum256([]byte(token))
	return h[:]
}

// writeConfig writes the embedded folder with the hash of each token in place
// of its placeholder.
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
		for name, token := range tokens {
			data = bytes.ReplaceAll(data, []byte(`"`+name+`"`), []byte(`"`+hashed(token)+`"`))
		}
		if err := os.WriteFile(filepath.Join(folder, e.Name()), data, 0o600); err != nil {
			return fmt.Errorf("write configuration: %w", err)
		}
	}
	return nil
}
