package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// promise is one row of the closing table.
type promise struct {
	name    string
	counted string
	kept    bool
}

// table collects the rows in the order in which they were checked.
type table struct{ rows []promise }

func (t *table) add(name string, kept bool, format string, args ...any) {
	t.rows = append(t.rows, promise{name: name, counted: fmt.Sprintf(format, args...), kept: kept})
}

// print writes the table and returns the number of broken promises.
func (t *table) print(w io.Writer) int {
	broken := 0
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "PROMISE\tCOUNTED\tRESULT")
	for _, row := range t.rows {
		result := "kept"
		if !row.kept {
			result = "BROKEN"
			broken++
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\n", row.name, row.counted, result)
	}
	_ = tw.Flush()
	return broken
}
