package quota

import (
	"testing"

	"peridotrail/internal/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }
