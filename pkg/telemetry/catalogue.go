package telemetry

import (
	"fmt"
	"strings"
)

const catalogueHeader = `# Events

Every log line of a daemon has a number in its field ` + "`event`" + `. Numbers do not
change. This page is generated from the code by ` + "`go run ./test/events > docs/events.md`" + `;
a test keeps both equal.

| number | name | level | meaning |
| --- | --- | --- | --- |
`

// Catalogue renders the registered events as the page docs/events.md.
func Catalogue() string {
	var b strings.Builder
	b.WriteString(catalogueHeader)
	for _, e := range Events() {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s |\n", e.Number, e.Name, e.Level, e.Meaning)
	}
	return b.String()
}
