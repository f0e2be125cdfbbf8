package lrquarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// maxParts is the most parts of one prompt that crashes are attributed to.
const maxParts = 64

// A Trait identifies something that requests may have in common and that may crash servers: the content of a whole request, or a part of
// a prompt. It is a hash.
type Trait uint64

// String returns the trait in hexadecimal.
func (t Trait) String() string { return fmt.Sprintf("%016x", uint64(t)) }

// A Request holds the traits of one request.
type Request struct {
	// Whole is the same for requests with the same content.
	Whole Trait
	// Parts are the parts of the prompt that unlike requests may share.
	Parts []Trait
}

// NewRequest returns the traits of a request with the digest, whose prompt has the given parts in common with other requests.
func NewRequest(digest string, parts ...string) Request {
	request := Request{Whole: hash("request", digest)}
	for _, p := range parts[:min(len(parts), maxParts)] {
		request.Parts = append(request.Parts, hash("part", p))
	}
	return request
}

// hash returns the trait of the text. Texts of different kinds have different traits.
func hash(kind, text string) Trait {
	sum := sha256.Sum256([]byte(kind + "\x00" + text))
	return Trait(binary.BigEndian.Uint64(sum[:]))
}

// bounded returns the request with at most maxParts parts.
func (r Request) bounded() Request {
	r.Parts = r.Parts[:min(len(r.Parts), maxParts)]
	return r
}

// traits returns all traits of the request.
func (r Request) traits() []Trait {
	traits := make([]Trait, 0, len(r.Parts)+1)
	traits = append(traits, r.Whole)
	return append(traits, r.Parts...)
}
