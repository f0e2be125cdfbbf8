// Package lrjson reads JSON documents that hold a list, of which single elements may be malformed.
//
// The decoder of the standard library rejects a whole document for one element that is nested too deeply or has a value of another type.
// Here the document is split first, so that each element can be decoded by itself.
package lrjson

import (
	"bytes"
	"encoding/json"

	"github.com/tidwall/gjson"
	"github.com/zeebo/errs"
)

// ErrNoList means that the document is malformed outside of its elements, or holds no list.
var ErrNoList = errs.Class("the document holds no list, ask its sender")

// Split returns the elements of the list in the field of the document, which is an object. The field is a plain name. It decodes the document without them into
// envelope, if that is not nil.
func Split(document []byte, field string, envelope any) ([]json.RawMessage, error) {
	list := gjson.GetBytes(document, field)
	if !list.IsArray() || list.Raw[len(list.Raw)-1] != ']' {
		return nil, ErrNoList.New("field %q is no list", field)
	}
	rest := bytes.Join([][]byte{document[:list.Index], []byte("[]"), document[list.Index+len(list.Raw):]}, nil)
	if envelope == nil {
		envelope = &struct{}{}
	}
	err := json.Unmarshal(rest, envelope)
	if err != nil {
		return nil, ErrNoList.Wrap(err)
	}
	var elements []json.RawMessage
	list.ForEach(func(_, element gjson.Result) bool {
		elements = append(elements, json.RawMessage(element.Raw))
		return true
	})
	return elements, nil
}

// SplitArray returns the elements of the document, which is a list.
func SplitArray(document []byte) ([]json.RawMessage, error) {
	const field = "list"
	return Split(bytes.Join([][]byte{[]byte(`{"` + field + `":`), document, []byte("}")}, nil), field, nil)
}

// Text returns the text at the path of a document that may be malformed elsewhere, or an empty one.
func Text(document []byte, path string) string {
	value := gjson.GetBytes(document, path)
	if value.Type != gjson.String {
		return ""
	}
	return value.Str
}

// Raw returns the value at the path of a document that may be malformed elsewhere, or nothing.
func Raw(document []byte, path string) json.RawMessage {
	return json.RawMessage(gjson.GetBytes(document, path).Raw)
}

// A Document decodes itself from a text of which parts may be malformed.
type Document interface {
	DecodeDocument(text []byte) error
}

// Decode decodes the text into a Document, or as encoding/json does.
func Decode(text []byte, into any) error {
	document, ok := into.(Document)
	if ok {
		return document.DecodeDocument(text)
	}
	return json.Unmarshal(text, into)
}
