package hfconfig

import (
	"io"
	"strings"
)

func readerOf(text string) io.Reader { return strings.NewReader(text) }
