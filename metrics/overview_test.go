package metrics

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/umberdeal/umberdeal/internal/golden"
)

// Operators' programs and nodes of other versions read the overview as JSON, and operators read it
// as a table. Both must match their recorded form.
func TestOverviewFormatsAreStable(t *testing.T) {
	f := golden.Open(t, "overview.golden")
	shown := golden.Codec{Marshal: json.Marshal, Unmarshal: json.Unmarshal}
	o := golden.CheckEncoding[Overview](f, "JSON", shown)
	for label, o := range map[string]Overview{"table": o, "table, empty": {}} {
		var out bytes.Buffer
		if err := o.Print(&out); err != nil {
			t.Fatal(err)
		}
		f.Text(label, out.String())
	}
}
