package link

import (
	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"jayshift/core/wire"
)

const (
	maxFrameBytes    = 16 << 20
	maxArrayElements = 1 << 20
	maxNestedLevels  = 16
)

// ErrMalformedFrame is returned for bytes from a peer that are not a valid frame.
var ErrMalformedFrame = merry.Sentinel("link: malformed frame")

// decMode limits nesting and element counts and rejects duplicate map keys, since the bytes come from the network.
var decMode = newDecMode()

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: maxNestedLevels,
		MaxArrayElements: maxArrayElements, MaxMapPairs: maxArrayElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the frame encoded as CBOR.
func Encode(f *wire.Frame) ([]byte, error) {
	data, err := cbor.Marshal(f)
	return data, merry.Wrap(err)
}

// Decode decodes one CBOR frame. Its errors wrap ErrMalformedFrame.
func Decode(data []byte) (wire.Frame, error) {
	var f wire.Frame
	if err := decMode.Unmarshal(data, &f); err != nil {
		return wire.Frame{}, merry.Prepend(ErrMalformedFrame, err.Error())
	}
	return f, nil
}
