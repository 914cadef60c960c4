package hfintake

// headScanner counts the lines of a head as they are read, with the empty lines before it.
type headScanner struct {
	lines   int
	inLine  bool // the line under way is not empty
	started bool // a line that is not empty has ended
	ended   bool // the empty line after the head was read
}

// scan reads the next bytes of a connection.
func (s *headScanner) scan(b []byte) {
	for _, x := range b {
		switch {
		case s.ended:
			return
		case x == '\n':
			s.lines++
			s.ended = s.started && !s.inLine
			s.started = s.started || s.inLine
			s.inLine = false
		case x != '\r':
			s.inLine = true
		}
	}
}

// exceeded reports whether the head, which has not ended, has too many lines.
func (s *headScanner) exceeded() bool { return !s.ended && s.lines > MaxHeadLines }
