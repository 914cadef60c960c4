package hfconfig

import (
	"bytes"
	"fmt"
	"io"

	"github.com/goccy/go-yaml"
)

// MaxManifest is the largest manifest file in bytes.
const MaxManifest = 1 << 20

// Manifest is a resource as an operator writes it, in YAML or JSON.
type Manifest struct {
	Kind     Kind   `json:"kind"`
	Name     string `json:"name"`
	Revision int64  `json:"revision,omitempty"` // expected current revision; 0: not checked
	Spec     any    `json:"spec"`
}

type head struct {
	Kind     Kind   `json:"kind"`
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Spec     any    `json:"spec"`
}

type body[T any] struct {
	Kind     Kind   `json:"kind"`
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Spec     T      `json:"spec"`
}

// ReadManifests reads the documents of one file. Unknown fields are refused with
// their line.
func ReadManifests(r io.Reader) ([]Manifest, error) {
	raw, err := io.ReadAll(io.LimitReader(r, MaxManifest+1))
	if err != nil {
		return nil, fmt.Errorf("read manifest: %w", err)
	}
	if len(raw) > MaxManifest {
		return nil, fmt.Errorf("%w: manifest is larger than %d bytes", ErrInvalid, MaxManifest)
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

// splitDocuments cuts at the YAML document marks. Lines before a document are
// kept as empty ones, so that errors name the line in the file.
func splitDocuments(raw []byte) [][]byte {
	docs := [][]byte{}
	lines := bytes.SplitAfter(raw, []byte("\n"))
	start, blank := 0, 0
	flush := func(end int) {
		doc := bytes.Join(lines[start:end], nil)
		if len(bytes.TrimSpace(doc)) > 0 {
			docs = append(docs, append(bytes.Repeat([]byte("\n"), blank), doc...))
		}
	}
	for i, line := range lines {
		if bytes.Equal(bytes.TrimRight(line, " \r\n"), []byte("---")) {
			flush(i)
			start, blank = i+1, i+1
		}
	}
	flush(len(lines))
	return docs
}

func readManifest(doc []byte) (Manifest, error) {
	var h head
	if err := yaml.UnmarshalWithOptions(doc, &h, yaml.Strict()); err != nil {
		return Manifest{}, fmt.Errorf("%w: %s", ErrInvalid, yaml.FormatError(err, false, false))
	}
	m := Manifest{Kind: h.Kind, Name: h.Name, Revision: h.Revision}
	spec, err := decodeSpec(h.Kind, doc)
	if err != nil {
		return Manifest{}, fmt.Errorf("%s %s: %w", h.Kind, h.Name, err)
	}
	m.Spec = spec
	if err := NewResource(m.Kind, m.Name, m.Spec).Check(); err != nil {
		return Manifest{}, fmt.Errorf("%s %s: %w", h.Kind, h.Name, err)
	}
	return m, nil
}

func decodeSpec(kind Kind, doc []byte) (any, error) {
	switch kind {
	case KindAccount:
		return strict(doc, Account{})
	case KindWork:
		return strict(doc, Work{})
	case KindCaller:
		return strict(doc, Caller{})
	case KindMerge:
		return strict(doc, Merge{})
	case KindObjective:
		return strict(doc, Objective{})
	default:
		_, err := newSpec(kind)
		return nil, fmt.Errorf("spec: %w", err)
	}
}

// strict decodes a whole document with a spec of type T.
func strict[T any](doc []byte, spec T) (any, error) {
	b := body[T]{Spec: spec}
	if err := yaml.UnmarshalWithOptions(doc, &b, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("%w: %s", ErrInvalid, yaml.FormatError(err, false, false))
	}
	return &b.Spec, nil
}
