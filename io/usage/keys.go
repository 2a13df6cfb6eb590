package usage

import (
	"context"
	"encoding/json"

	"jayshift/core/ident"
	"jayshift/core/usage"
	"jayshift/core/wire"
	"jayshift/io/store"
	"jayshift/io/watch"
)

// Keys of the store.
const (
	DutyKey   = watch.UsageDutyKey
	RecordKey = watch.UsageRecordKey
)

// write writes a value to a key if the compares hold. In a conflict it returns what the store holds instead.
func (r *Reporter) write(ctx context.Context, compares []store.Compare, key string, value any, lease int64) usage.Result {
	data, err := json.Marshal(value)
	if err != nil {
		return usage.Result{Outcome: usage.Failed}
	}
	revision, current, err := r.deps.Store.Txn(ctx, compares, []store.Write{{Key: key, Value: data, Lease: lease}}, nil)
	result := usage.Result{Outcome: outcomeOf(err), Revision: ident.Revision(revision)}
	for _, kv := range current {
		switch string(kv.Key) {
		case DutyKey:
			result.KeyRevision = ident.Revision(kv.ModRevision)
		case RecordKey:
			var record wire.UsageRecord
			if json.Unmarshal(kv.Value, &record) == nil {
				result.Record = DecodeRecord(record)
			}
			result.RecordRevision = ident.Revision(kv.ModRevision)
		}
	}
	return result
}

// EncodeRecord returns the stored form of a record.
func EncodeRecord(r usage.Record) wire.UsageRecord {
	w := wire.UsageRecord{Term: int(r.Term), Last: int(r.Last), Pending: []wire.UsageFixed{}}
	for _, f := range r.Pending {
		w.Pending = append(w.Pending, wire.UsageFixed{Window: int(f.Window), Body: f.Body})
	}
	return w
}

// DecodeRecord returns the record of its stored form.
func DecodeRecord(w wire.UsageRecord) usage.Record {
	r := usage.Record{Term: ident.Revision(w.Term), Last: usage.Window(w.Last)}
	for _, f := range w.Pending {
		r.Pending = append(r.Pending, usage.Fixed{Window: usage.Window(f.Window), Body: f.Body})
	}
	return r
}

// FactsOf returns what a copy of the store holds of the duty, all of one moment but Fresh, which is read first: the rest is at
// least as new as what was confirmed.
func FactsOf(w *watch.Watch) usage.Facts {
	fresh := w.Fresh(maxCopyAge)
	u := w.Usage()
	f := usage.Facts{Revision: u.Revision, Fresh: fresh, Record: DecodeRecord(u.Record), RecordRevision: u.RecordRevision}
	if u.DutyRevision != 0 {
		f.Key = usage.Key{
			Revision: u.DutyRevision, Host: ident.Host(u.Duty.Host), Incarnation: u.Duty.Incarnation, Lease: int64(u.Duty.Lease),
		}
	}
	return f
}

func encodeReport(r usage.Report) wire.UsageReport {
	w := wire.UsageReport{Host: string(r.Host), Incarnation: r.Incarnation, Sequence: r.Sequence, Through: int(r.Through), Windows: []wire.UsageWindow{}}
	for window, counts := range r.Windows {
		list := wire.UsageWindowCounts{}
		for team, n := range counts {
			list[string(team)] = n
		}
		w.Windows = append(w.Windows, wire.UsageWindow{Window: int(window), Counts: list})
	}
	return w
}

func decodeReport(w wire.UsageReport) usage.Report {
	r := usage.Report{
		Host: ident.Host(w.Host), Incarnation: w.Incarnation, Sequence: w.Sequence, Through: usage.Window(w.Through),
		Windows: map[usage.Window]usage.Counts{},
	}
	for _, window := range w.Windows {
		counts := usage.Counts{}
		for team, n := range window.Counts {
			if n > 0 {
				counts[ident.Team(team)] = n
			}
		}
		r.Windows[usage.Window(window.Window)] = counts
	}
	return r
}
