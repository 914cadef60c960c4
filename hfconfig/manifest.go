package hfconfig

import (
	"bytes"
	"fmt"
	"io"

	"github.com/goccy/go-yaml"
)

// MaxManifestBytes is the maximum size of a manifest file.
const MaxManifestBytes = 1 << 20

// Manifest is a resource in the form that operators write, in YAML or JSON.
type Manifest struct {
	Kind     Kind   `json:"kind"`
	Name     string `json:"name"`
	Revision int64  `json:"revision,omitempty"` // expected current revision; 0: any
	Spec     any    `json:"spec"`
}

// manifestHeader is a manifest whose spec is not decoded into a type yet.
type manifestHeader struct {
	Kind     Kind   `json:"kind"`
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Spec     any    `json:"spec"`
}

// typedManifest is a manifest with a spec of type T.
type typedManifest[T any] struct {
	Kind     Kind   `json:"kind"`
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Spec     T      `json:"spec"`
}

// ReadManifests decodes and validates every document of one file. It rejects
// unknown fields with an error that contains the line number.
func ReadManifests(r io.Reader) ([]Manifest, error) {
	raw, err := io.ReadAll(io.LimitReader(r, MaxManifestBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read manifest: %w", err)
	}
	if len(raw) > MaxManifestBytes {
		return nil, fmt.Errorf("%w: manifest is larger than %d bytes", ErrInvalid, MaxManifestBytes)
	}
	manifests := []Manifest{}
	for i, doc := range splitDocuments(raw) {
		m, err := readManifest(doc)
		if err != nil {
			return nil, fmt.Errorf("document %d: %w", i+1, err)
		}
		manifests = append(manifests, m)
	}
	return manifests, nil
}

// splitDocuments splits a file at the YAML document separators. The lines before
// a document are replaced by empty ones, so that errors contain the line number
// in the file.
func splitDocuments(raw []byte) [][]byte {
	docs := [][]byte{}
	lines := bytes.SplitAfter(raw, []byte("\n"))
	start, skipped := 0, 0
	flush := func(end int) {
		doc := bytes.Join(lines[start:end], nil)
		if len(bytes.TrimSpace(doc)) > 0 {
			docs = append(docs, append(bytes.Repeat([]byte("\n"), skipped), doc...))
		}
	}
	for i, line := range lines {
		if bytes.Equal(bytes.TrimRight(line, " \r\n"), []byte("---")) {
			flush(i)
			start, skipped = i+1, i+1
		}
	}
	flush(len(lines))
	return docs
}

func readManifest(doc []byte) (Manifest, error) {
	var h manifestHeader
	if err := yaml.UnmarshalWithOptions(doc, &h, yaml.Strict()); err != nil {
		return Manifest{}, fmt.Errorf("%w: %s", ErrInvalid, yaml.FormatError(err, false, false))
	}
	m := Manifest{Kind: h.Kind, Name: h.Name, Revision: h.Revision}
	spec, err := decodeSpec(h.Kind, doc)
	if err != nil {
		return Manifest{}, fmt.Errorf("%s %s: %w", h.Kind, h.Name, err)
	}
	m.Spec = spec
	if err := NewResource(m.Kind, m.Name, m.Spec).Validate(); err != nil {
		return Manifest{}, fmt.Errorf("%s %s: %w", h.Kind, h.Name, err)
	}
	return m, nil
}

func decodeSpec(kind Kind, doc []byte) (any, error) {
	switch kind {
	case KindAccount:
		return decodeStrict(doc, Account{})
	case KindWork:
		return decodeStrict(doc, Work{})
	case KindCaller:
		return decodeStrict(doc, Caller{})
	case KindMerge:
		return decodeStrict(doc, Merge{})
	case KindObjective:
		return decodeStrict(doc, Objective{})
	default:
		_, err := newSpec(kind)
		return nil, fmt.Errorf("spec: %w", err)
	}
}

// decodeStrict decodes a whole document with a spec of type T and rejects unknown
// fields.
func decodeStrict[T any](doc []byte, spec T) (any, error) {
	m := typedManifest[T]{Spec: spec}
	if err := yaml.UnmarshalWithOptions(doc, &m, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("%w: %s", ErrInvalid, yaml.FormatError(err, false, false))
	}
	return &m.Spec, nil
}
