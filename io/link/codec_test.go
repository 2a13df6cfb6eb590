package link_test

import (
	"errors"
	"os"
	"reflect"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jayshift/core/wire"
	"jayshift/internal/seed"
	"jayshift/io/link"
)

func TestMain(m *testing.M) { os.Exit(seed.Run(m)) }

// checkDecode fails the test unless Decode returns ErrMalformedFrame, or a frame that can be encoded and decoded again.
func checkDecode(t interface{ Fatalf(string, ...any) }, data []byte) {
	f, err := link.Decode(data)
	if err != nil {
		if !errors.Is(err, link.ErrMalformedFrame) {
			t.Fatalf("error is not ErrMalformedFrame: %s", err)
		}
		return
	}
	reencoded, err := link.Encode(&f)
	if err != nil {
		t.Fatalf("decoded frame cannot be encoded: %s", err)
	}
	if _, err := link.Decode(reencoded); err != nil {
		t.Fatalf("encoded frame cannot be decoded: %s", err)
	}
}

// seedFrames returns three valid encoded frames, followed by three inputs that are not frames.
func seedFrames() [][]byte {
	var list [][]byte
	for _, f := range []wire.Frame{
		{Call: 7, Heartbeat: &wire.Heartbeat{Revision: 3}},
		{LoanAsk: &wire.LoanAsk{Quantity: "team/north", Tokens: 1}},
		{Delta: &wire.Delta{Revision: 9, Resources: []wire.Resource{{Kind: "team", Name: "t", Team: &wire.Team{Rate: 1}}}}},
	} {
		data, _ := link.Encode(&f)
		list = append(list, data)
	}
	return append(list, nil, []byte{0xff}, []byte{0xbf, 0x01})
}

func FuzzDecode(f *testing.F) {
	for _, s := range seedFrames() {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, data []byte) { checkDecode(t, data) })
}

// TestDecodeMutated decodes valid frames in which up to 8 bytes are replaced. The number of cases and the seed are
// fixed.
func TestDecodeMutated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := append([]byte{}, rapid.SampledFrom(seedFrames()[:3]).Draw(t, "seed")...)
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "to")
		}
		checkDecode(t, data)
	})
}

func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	f := wire.Frame{Call: 3, Incarnation: 9, Sequence: 4, Record: &wire.Record{Key: "k", Header: map[string]string{"a": "b"}}}
	data, err := link.Encode(&f)
	is.NoErr(err)
	got, err := link.Decode(data)
	is.NoErr(err)
	is.True(reflect.DeepEqual(got, f))
}
