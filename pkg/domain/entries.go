package domain

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/lease"
	"nutmegstand.example/nutmegstand/pkg/store"
)

// HeadError reports a configuration head or manifest that cannot be decoded.
type HeadError struct{ Cause error }

func (e *HeadError) Error() string {
	return fmt.Sprintf("domain: invalid head or manifest: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *HeadError) Unwrap() error { return e.Cause }

// entries is the decoded list of keys under config.EntryPrefix.
type entries struct {
	head   config.Head
	leases []leaseEntry // only those with a holder
}

type leaseEntry struct {
	domain string
	slot   int
	record lease.Record
}

func decodeEntries(objects []store.Object) (entries, error) {
	var found entries
	for _, object := range objects {
		if object.Key == config.HeadKey {
			head, err := decodeHead(object.Value)
			if err != nil {
				return found, err
			}
			found.head = head
			continue
		}
		domain, slot, ok := parseLeaseKey(object.Key)
		if !ok {
			continue
		}
		record, err := lease.Decode(object.Value)
		if err != nil {
			return found, err
		}
		if record.Holder != "" {
			found.leases = append(found.leases, leaseEntry{domain: domain, slot: slot, record: record})
		}
	}
	return found, nil
}

func decodeHead(value []byte) (config.Head, error) {
	var head config.Head
	if err := json.Unmarshal(value, &head); err != nil {
		return head, &HeadError{Cause: err}
	}
	return head, nil
}

// parseLeaseKey returns the domain and the slot of a distributor lease key.
func parseLeaseKey(key string) (string, int, bool) {
	rest, ok := strings.CutPrefix(key, "entry/distributor/")
	if !ok {
		return "", noSlot, false
	}
	domain, number, ok := strings.Cut(rest, "/")
	if !ok {
		return "", noSlot, false
	}
	slot, err := strconv.Atoi(number)
	return domain, slot, err == nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
