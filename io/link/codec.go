package link

import (
	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"jayshift/core/wire"
)

const (
	maxFrameBytes    = 16 << 20
	maxArrayElements = 1 << 20
	maxNesting       = 16
)

// ErrFrame means that a peer sent bytes that are not a frame.
var ErrFrame = merry.Sentinel("link: malformed frame")

var decoding = newDecoding()

func newDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: maxNesting,
		MaxArrayElements: maxArrayElements, MaxMapPairs: maxArrayElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the frame as CBOR.
func Encode(f *wire.Frame) ([]byte, error) {
	data, err := cbor.Marshal(f)
	return data, merry.Wrap(err)
}

// Decode reads one frame; the error wraps ErrFrame.
func Decode(data []byte) (wire.Frame, error) {
	var f wire.Frame
	if err := decoding.Unmarshal(data, &f); err != nil {
		return wire.Frame{}, merry.Prepend(ErrFrame, err.Error())
	}
	return f, nil
}
