package watch

import (
	"encoding/json"
	"strings"

	"github.com/ansel1/merry/v2"

	"jayshift/core/ident"
	"jayshift/core/wire"
	"jayshift/io/store"
)

// Prefixes of the keys that jayshift's hosts write.
const (
	hostPrefix  = "jayshift/hosts/"
	stagePrefix = "jayshift/moves/"
)

// Keys of the usage reports: the host that holds the duty, and the reports that are final.
const (
	UsageDutyKey   = "jayshift/duty"
	UsageRecordKey = "jayshift/usage"
)

// Usage is what the copy holds of the usage reports at one moment: its revision, and for each key the value, empty if it is
// missing, and its StoredRevision.
type Usage struct {
	Revision       ident.Revision
	Duty           wire.UsageDuty
	DutyRevision   ident.Revision
	Record         wire.UsageRecord
	RecordRevision ident.Revision
}

// Usage returns what the copy holds of the usage reports.
func (w *Watch) Usage() Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Usage{
		Revision: w.revision, Duty: w.usageDuty, DutyRevision: w.storedRevision(UsageDutyKey),
		Record: w.usageRecord, RecordRevision: w.storedRevision(UsageRecordKey),
	}
}

// HostKey returns the key of a host's registration.
func HostKey(host ident.Host) string { return hostPrefix + string(host) }

// StageKey returns the key of the progress of a service's move, which the leader host writes.
func StageKey(service ident.Service) string { return stagePrefix + string(service) }

// Stage is the stored progress of a service's move and its store revision.
type Stage struct {
	wire.Stage
	Revision ident.Revision
}

// applyHostItem applies an item if a jayshift host wrote its key, and reports whether one did. The caller holds mu.
func (w *Watch) applyHostItem(i Item) (handled bool, err error) {
	switch {
	case strings.HasPrefix(i.Key, hostPrefix):
		host := ident.Host(strings.TrimPrefix(i.Key, hostPrefix))
		var edge wire.Edge
		if i.Deleted {
			delete(w.hosts, host)
			return true, nil
		}
		if err := json.Unmarshal(i.Value, &edge); err != nil {
			return true, merry.Wrap(err)
		}
		w.hosts[host] = edge
		return true, nil
	case strings.HasPrefix(i.Key, stagePrefix):
		service := ident.Service(strings.TrimPrefix(i.Key, stagePrefix))
		if i.Deleted {
			delete(w.stages, service)
			return true, nil
		}
		stage := Stage{Revision: i.Revision}
		if err := json.Unmarshal(i.Value, &stage.Stage); err != nil {
			return true, merry.Wrap(err)
		}
		w.stages[service] = stage
		return true, nil
	case i.Key == UsageDutyKey:
		w.usageDuty = wire.UsageDuty{}
		return true, decodeUnlessDeleted(i, &w.usageDuty)
	case i.Key == UsageRecordKey:
		w.usageRecord = wire.UsageRecord{}
		return true, decodeUnlessDeleted(i, &w.usageRecord)
	}
	return false, nil
}

// decodeUnlessDeleted decodes the value of an item. A deleted item leaves the value as it is.
func decodeUnlessDeleted(i Item, value any) error {
	if i.Deleted {
		return nil
	}
	return merry.Wrap(json.Unmarshal(i.Value, value))
}

// itemFromKV returns the item of a key that was read.
func itemFromKV(kv store.KV) Item {
	return Item{Key: string(kv.Key), Value: kv.Value, Revision: ident.Revision(kv.ModRevision)}
}

// itemFromEvent returns the item of a watch event.
func itemFromEvent(e store.Event) Item {
	return Item{Key: e.Key, Value: e.Value, Revision: ident.Revision(e.Revision), Deleted: e.Deleted}
}
