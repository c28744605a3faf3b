package celerylanding

import (
	"crypto/sha256"
	"net/http"
	"strings"
)

// HeaderKey is the header field in which callers send their key.
const HeaderKey = "Authorization"

// keyScheme is the authentication scheme of keys.
const keyScheme = "Bearer"

// WorkspaceID is the name of a workspace, to which callers belong by their keys.
type WorkspaceID string

// Key is the secret with which a caller proves that it belongs to a workspace. Formatting it shows no part of the secret.
type Key string

// KeyDigest identifies a key without disclosing it: the first bytes of its SHA-256 sum.
type KeyDigest [16]byte

// ParseKey returns the key of a request, or "" if there is not exactly one field with one key.
func ParseKey(header http.Header) Key {
	fields := header[HeaderKey]
	if len(fields) != 1 {
		return ""
	}
	scheme, key, _ := strings.Cut(strings.TrimSpace(fields[0]), " ")
	if !strings.EqualFold(scheme, keyScheme) {
		return ""
	}
	return Key(strings.TrimSpace(key))
}

const redactedKey = "(redacted)"

// String returns a placeholder, so that the key stands in no log line or error.
func (Key) String() string { return redactedKey }

// GoString returns a placeholder, so that the key stands in no dump of a value.
func (Key) GoString() string { return redactedKey }

// MarshalText returns a placeholder, so that the key stands in no encoded value.
func (Key) MarshalText() ([]byte, error) { return []byte(redactedKey), nil }

// Digest returns the digest by which configurations list the key.
func (key Key) Digest() KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:len(KeyDigest{})])
}
