package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// guarantee is one row of the final table.
type guarantee struct {
	name     string
	measured string
	ok       bool
}

// table holds the checked guarantees in the order of the checks.
type table struct{ rows []guarantee }

func (t *table) add(name string, ok bool, format string, args ...any) {
	t.rows = append(t.rows, guarantee{name: name, measured: fmt.Sprintf(format, args...), ok: ok})
}

// print writes the table and returns the number of violated guarantees.
func (t *table) print(w io.Writer) int {
	violated := 0
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "GUARANTEE\tMEASURED\tRESULT")
	for _, row := range t.rows {
		result := "ok"
		if !row.ok {
			result = "VIOLATED"
			violated++
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\n", row.name, row.measured, result)
	}
	_ = tw.Flush()
	return violated
}
