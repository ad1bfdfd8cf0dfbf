package leasedshare

import (
	"testing"

	"peridotrail/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }
