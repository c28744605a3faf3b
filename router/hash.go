package router

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

func hashText(text string, seed uint64) uint64 {
	digest := xxhash.NewWithSeed(seed)
	// WriteString of a digest never returns an error.
	_, _ = digest.WriteString(text)
	return digest.Sum64()
}

// Fingerprint returns a 64-bit hash of a request's subject (such as its path and model) and body, which identifies equal requests.
func Fingerprint(subject string, body []byte) uint64 {
	digest := xxhash.New()
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(subject)))
	_, _ = digest.Write(length[:])
	_, _ = digest.WriteString(subject)
	_, _ = digest.Write(body)
	return digest.Sum64()
}
