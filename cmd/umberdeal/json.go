package main

import (
	"encoding/json"
	"io"
	"strings"
)

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// readJSON keeps whole numbers whole, since counts must be integers on the
// wire.
func readJSON(r io.Reader) (map[string]any, error) {
	dec := json.NewDecoder(r)
	dec.UseNumber()
	var m map[string]any
	if err := dec.Decode(&m); err != nil {
		return nil, err
	}
	for k, v := range m {
		n, ok := v.(json.Number)
		if !ok {
			continue
		}
		if !strings.ContainsAny(n.String(), ".eE") {
			if i, err := n.Int64(); err == nil {
				m[k] = i
				continue
			}
		}
		f, err := n.Float64()
		if err != nil {
			return nil, err
		}
		m[k] = f
	}
	return m, nil
}
