package move

import "fmt"

// SupersededError reports that another controller has acquired the shard's
// lease: a record or grant has a higher fencing number.
type SupersededError struct {
	Shard            int
	Fencing, Highest uint64
}

func (e *SupersededError) Error() string {
	return fmt.Sprintf("move: controller of shard %d is superseded: its fencing number is %d, the current one is %d", e.Shard, e.Fencing, e.Highest)
}

// RecordError reports a move record that cannot be decoded.
type RecordError struct {
	Key   string
	Cause error
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("move: record %s: %v", e.Key, e.Cause)
}

// Unwrap returns the decoding error.
func (e *RecordError) Unwrap() error { return e.Cause }
