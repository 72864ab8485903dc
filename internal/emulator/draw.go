package emulator

import (
	"math/rand/v2"
	"reflect"
)

// draw returns a copy of the scenario with a single value drawn for every Range.
func (s *Scenario) draw(rng *rand.Rand) *Scenario {
	out := reflect.New(reflect.TypeOf(*s)).Elem()
	out.Set(reflect.ValueOf(*s))
	drawRanges(out, rng)
	return out.Addr().Interface().(*Scenario)
}

var rangeType = reflect.TypeOf(Range{})

// drawRanges replaces every Range within v by a drawn value. The order of the draws is the order
// of the fields.
func drawRanges(v reflect.Value, rng *rand.Rand) {
	switch {
	case v.Type() == rangeType:
		x := v.Interface().(Range).draw(rng)
		v.Set(reflect.ValueOf(fixedRange(x)))
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			drawRanges(v.Field(i), rng)
		}
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct && !v.IsNil():
		c := reflect.MakeSlice(v.Type(), v.Len(), v.Len())
		reflect.Copy(c, v)
		v.Set(c)
		for i := range v.Len() {
			drawRanges(v.Index(i), rng)
		}
	}
}
