package ledger_test

import (
	"testing"

	"github.com/umberdeal/umberdeal/internal/tell"
)

func TestMain(m *testing.M) { tell.Main(m) }
