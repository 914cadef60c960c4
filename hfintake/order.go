package hfintake

// First returns the client that goes first among those that may be let go, or nil. order must never return 0 for two
// clients, so that the result does not depend on the order of the map.
func First[C any](clients map[uint64]*C, may func(*C) bool, order func(a, b *C) int) *C {
	var first *C
	for _, c := range clients {
		if may(c) && (first == nil || order(c, first) < 0) {
			first = c
		}
	}
	return first
}

// CompareBool compares two values, of which false is less.
func CompareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
