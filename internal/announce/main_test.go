package announce

import (
	"os"
	"testing"

	"oxbowsaddle/internal/proptest"
)

func TestMain(m *testing.M) { os.Exit(proptest.Main(m)) }
