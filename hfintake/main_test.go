package hfintake

import (
	"testing"

	"github.com/heatherfront/heatherfront/hfseed"
)

func TestMain(m *testing.M) { hfseed.Main(m) }
