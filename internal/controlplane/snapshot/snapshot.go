// Package snapshot encodes the states of state machines for their snapshots.
package snapshot

import "github.com/fxamacker/cbor/v2"

// Encode returns an encoded state. It must consist of plain values.
func Encode(state any) []byte {
	text, err := cbor.Marshal(state)
	if err != nil {
		panic(err) // unreachable: the state consists of plain values
	}
	return text
}

// Decode reads an encoded state into the value that state points to. An empty snapshot leaves it unchanged.
func Decode(text []byte, state any) error {
	if len(text) == 0 {
		return nil
	}
	return cbor.Unmarshal(text, state)
}
