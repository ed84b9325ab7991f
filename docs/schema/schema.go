// Package schema embeds the published JSON Schema of operator files.
package schema

import _ "embed"

// Configuration is the JSON Schema of an operator file.
//
//go:embed configuration.json
var Configuration []byte
