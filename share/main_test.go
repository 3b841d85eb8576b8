package share

import (
	"testing"

	"chestnutstep.example/chestnutstep/script"
)

func TestMain(m *testing.M) { script.Main(m, 200) }
