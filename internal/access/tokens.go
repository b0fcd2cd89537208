package access

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"strings"

	"greengagequay/internal/fault"
	"greengagequay/internal/jsonc"
)

// Right is a permission of an API token.
type Right string

// The rights. Write includes Read.
const (
	Read     Right = "read"     // read settings and state
	Write    Right = "write"    // change settings and members
	Announce Right = "announce" // announce backend servers
)

// Token describes an accepted API token.
type Token struct {
	Name   string  `json:"name"`   // for logs
	SHA256 string  `json:"sha256"` // hash of the token, in hex
	Rights []Right `json:"rights"`
}

// Tokens holds the accepted API tokens. A nil Tokens accepts every call.
type Tokens struct {
	tokens []Token
	hashes [][]byte
}

// LoadTokens reads the tokens of a file, a JSON list with comments.
func LoadTokens(path string) (*Tokens, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.New(fault.Invalid, "name a readable file in the field tokens", "read tokens: %w", err)
	}
	tokens, err := ParseTokens(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return tokens, nil
}

// ParseTokens parses a JSON list of tokens with comments.
func ParseTokens(data []byte) (*Tokens, error) {
	t := &Tokens{}
	if err := jsonc.Decode(data, &t.tokens); err != nil {
		return nil, fault.New(fault.Invalid, `write [{"name": ..., "sha256": ..., "rights": ["read"]}]`, "parse tokens: %w", err)
	}
	for _, token := range t.tokens {
		if err := t.add(token); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func (t *Tokens) add(token Token) error {
	hash, err := hex.DecodeString(token.SHA256)
	if err != nil || len(hash) != sha256.Size {
		return fault.New(fault.Invalid, "use 64 hex digits, as sha256sum prints them", "token %q: field sha256 is malformed", token.Name)
	}
	for _, r := range token.Rights {
		if r != Read && r != Write && r != Announce {
			return fault.New(fault.Invalid, "use read, write or announce", "token %q: right %q does not exist", token.Name, r)
		}
	}
	t.hashes = append(t.hashes, hash)
	return nil
}

// Allow returns nil if the token has the right. All tokens are compared, each
// in constant time, so that the time taken reveals nothing about them.
func (t *Tokens) Allow(token string, want Right) error {
	hash := sha256.Sum256([]byte(token))
	allowed, known := 0, 0
	for i := range t.hashes {
		equal := subtle.ConstantTimeCompare(hash[:], t.hashes[i])
		known |= equal
		allowed |= equal & t.tokens[i].grants(want)
	}
	switch {
	case allowed == 1:
		return nil
	case known == 1:
		return fault.New(fault.Unauthorized, "use a token with the right "+string(want), "the token does not have the right %q", want)
	}
	return fault.New(fault.Unauthorized, "send a token in the header Authorization: Bearer", "the token is absent or unknown")
}

// grants returns 1 if the token includes the right, and 0 otherwise. Allow combines
// the result with that of a comparison in constant time.
func (t Token) grants(want Right) int {
	for _, r := range t.Rights {
		if r == want || r == Write && want == Read {
			return 1
		}
	}
	return 0
}

// announcePath is the API path of announcements.
const announcePath = "/v1/announcements"

// Guard returns a handler that passes a call to next only if its token has the
// required right. deny writes the response to a rejected call.
func (t *Tokens) Guard(next http.Handler, deny func(http.ResponseWriter, error)) http.Handler {
	if t == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if err := t.Allow(token, requiredRight(r)); err != nil {
			deny(w, err)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// requiredRight returns the right that a call requires.
func requiredRight(r *http.Request) Right {
	switch {
	case r.URL.Path == announcePath:
		return Announce
	case r.Method == http.MethodGet:
		return Read
	}
	return Write
}
