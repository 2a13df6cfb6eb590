package share_test

import (
	"os"
	"testing"

	"jayshift/internal/seed"
)

func TestMain(m *testing.M) { os.Exit(seed.Run(m)) }
