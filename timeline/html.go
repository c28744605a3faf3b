package timeline

import (
	_ "embed"
	"encoding/json"
	"html/template"
	"io"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// WriteHTML writes one self-contained HTML page with a column for each process.
func WriteHTML(out io.Writer, entries []Entry) error {
	encoded, err := json.Marshal(entries)
	if err != nil {
		return err
	}
	if len(entries) == 0 {
		encoded = []byte("[]")
	}
	// The JSON encoder escapes <, > and &, so the data can't close the script element.
	return page.Execute(out, template.JS(encoded))
}
