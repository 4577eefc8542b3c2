package jobstore_test

import (
	"testing"

	"github.com/umberdeal/umberdeal/internal/scenario"
)

func TestMain(m *testing.M) { scenario.Main(m) }
