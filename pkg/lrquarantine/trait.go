package lrquarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// A Trait identifies something that requests may have in common and that may crash servers: the content of a whole request, or a part of
// a prompt. It is a hash.
type Trait uint64

// String returns the trait in hexadecimal.
func (t Trait) String() string { return fmt.Sprintf("%016x", uint64(t)) }

// A Request holds the traits of one request.
type Request struct {
	// Whole is the same for requests with the same content.
	Whole Trait
	// Parts are the parts of the prompt that unlike requests may share. Their number is bounded by the size of a request alone.
	Parts []Trait
}

// NewRequest returns the traits of a request with the digest, whose prompt has the given parts in common with other requests.
func NewRequest(digest string, parts ...string) Request {
	request := Request{Whole: traitOf(append([]byte("request\x00"), digest...))}
	if len(parts) == 0 {
		return request
	}
	request.Parts = make([]Trait, 0, len(parts))
	const kind = "part\x00"
	text := []byte(kind)
	for _, p := range parts {
		text = append(text[:len(kind)], p...)
		request.Parts = append(request.Parts, traitOf(text))
	}
	return request
}

// traitOf returns the trait of a text, which begins with its kind.
func traitOf(text []byte) Trait {
	sum := sha256.Sum256(text)
	return Trait(binary.BigEndian.Uint64(sum[:]))
}

// traits returns all traits of the request.
func (r Request) traits() []Trait {
	traits := make([]Trait, 0, len(r.Parts)+1)
	traits = append(traits, r.Whole)
	return append(traits, r.Parts...)
}
