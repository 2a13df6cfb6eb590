package seat_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"jayshift/core/ident"
	"jayshift/core/seat"
	"jayshift/core/wire"
)

// tableOf returns a seat table of the given number of hosts in 12 regions and 35 availability zones, with voters,
// keepers and owners assigned, and the hosts' renewals.
func tableOf(hosts int) (wire.SeatTable, []wire.Renewal) {
	t := seat.NewTable()
	var renewals []wire.Renewal
	for i := range hosts {
		t, _ = seat.Join(modelEpoch, t, wire.Hello{
			Host: fmt.Sprintf("entry-%03d", i), Incarnation: 1_796_351_236_144, AvailabilityZone: fmt.Sprintf("zone-%02d", i%35),
			Region: fmt.Sprintf("region-%02d", i%35%12), LinkAddress: "10.10.10.10:7102", CallerAddress: "10.10.10.10:7100",
		})
	}
	rc := seat.NewReconciler(modelTiming, 3*modelRenewal)
	now := modelEpoch
	for round := range 8 {
		now = now.Add(time.Second)
		renewals = renewals[:0]
		for _, s := range t.Seats {
			renewals = append(renewals, wire.Renewal{Host: s.Host, Incarnation: s.Incarnation, Generation: t.Generation, Round: round})
		}
		rc.Observe(now, renewals)
		for range 8 {
			if next, ok := rc.Next(now, t); ok {
				t = next
			}
		}
	}
	return t, renewals
}

// BenchmarkController measures one round of the controller on a table that needs no change.
func BenchmarkController(b *testing.B) {
	for _, hosts := range []int{10, 50, 150, 450} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			t, renewals := tableOf(hosts)
			rc := seat.NewReconciler(modelTiming, 3*modelRenewal)
			now := modelEpoch.Add(time.Minute)
			value, _ := json.Marshal(t)
			for b.Loop() {
				now = now.Add(time.Millisecond)
				rc.Observe(now, renewals)
				rc.Next(now, t)
			}
			b.ReportMetric(float64(len(value)), "B-table")
			b.ReportMetric(float64(seat.Voters(t)), "voters")
		})
	}
}

// BenchmarkTableRead measures decoding a table and passing it to a lease, which every host does for every change of it.
func BenchmarkTableRead(b *testing.B) {
	for _, hosts := range []int{10, 450} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			t, _ := tableOf(hosts)
			value, _ := json.Marshal(t)
			for b.Loop() {
				var got wire.SeatTable
				_ = json.Unmarshal(value, &got)
				seat.NewLease("entry-000", 1, modelTiming).SetTable(got)
			}
		})
	}
}

// BenchmarkDeadline measures computing the serving deadline from acknowledgements, which every request needs.
func BenchmarkDeadline(b *testing.B) {
	for _, hosts := range []int{10, 450} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			t, _ := tableOf(hosts)
			l := seat.NewLease("entry-000", 1_796_351_236_144, modelTiming)
			l.SetTable(t)
			for _, s := range t.Seats {
				l.RecordAck(ident.Host(s.Host), ident.Incarnation(s.Incarnation), modelEpoch)
			}
			for b.Loop() {
				l.Deadline(modelEpoch)
			}
		})
	}
}
