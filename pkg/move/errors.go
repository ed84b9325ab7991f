package move

import "fmt"

// SupersededError reports that another controller has the shard's lease: a
// record or grant carries a higher fencing number.
type SupersededError struct {
	Shard         int
	Fencing, Seen uint64
}

func (e *SupersededError) Error() string {
	return fmt.Sprintf("move: controller of shard %d has fencing number %d, %d is in use", e.Shard, e.Fencing, e.Seen)
}

// RecordError reports a move record that cannot be decoded.
type RecordError struct {
	Key   string
	Cause error
}

func (e *RecordError) Error() string { return fmt.Sprintf("move: record %s: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }
