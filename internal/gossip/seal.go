package gossip

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"os"

	"greengagequay/internal/fault"
)

const (
	codeBytes   = 16 // HMAC-SHA256, truncated
	minKeyBytes = 16
)

// Key authenticates datagrams. With an empty key, datagrams carry no
// authentication code and Open accepts all of them.
type Key []byte

// LoadKey reads the key that all hosts share. It trims white space around the
// key.
func LoadKey(file string) (Key, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.New(fault.Invalid, "name a readable file in the field gossipKeyFile", "read gossip key: %w", err)
	}
	key := bytes.TrimSpace(data)
	if len(key) < minKeyBytes {
		return nil, fault.New(fault.Invalid, "use 16 random bytes or more, the same on all hosts", "gossip key in %s has %d bytes", file, len(key))
	}
	return key, nil
}

// Seal appends the authentication code to data.
func (k Key) Seal(data []byte) []byte {
	if len(k) == 0 {
		return data
	}
	return append(data, k.code(data)...)
}

// Open checks and removes the authentication code.
func (k Key) Open(data []byte) ([]byte, bool) {
	if len(k) == 0 {
		return data, true
	}
	n := len(data) - codeBytes
	if n < 0 {
		return nil, false
	}
	return data[:n], hmac.Equal(data[n:], k.code(data[:n]))
}

func (k Key) code(data []byte) []byte {
	h := hmac.New(sha256.New, k)
	h.Write(data)
	return h.Sum(nil)[:codeBytes]
}
