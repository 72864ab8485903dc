package emulator

import (
	"math/rand/v2"
	"reflect"
)

// drawn returns a day of the scenario: each Span a single figure.
func (s *Scenario) drawn(rng *rand.Rand) *Scenario {
	out := reflect.New(reflect.TypeOf(*s)).Elem()
	out.Set(reflect.ValueOf(*s))
	drawAll(out, rng)
	return out.Addr().Interface().(*Scenario)
}

var spanType = reflect.TypeOf(Range{})

func drawAll(v reflect.Value, rng *rand.Rand) {
	switch {
	case v.Type() == spanType:
		x := v.Interface().(Range).draw(rng)
		v.Set(reflect.ValueOf(fixed(x)))
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			drawAll(v.Field(i), rng)
		}
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct && !v.IsNil():
		c := reflect.MakeSlice(v.Type(), v.Len(), v.Len())
		reflect.Copy(c, v)
		v.Set(c)
		for i := range v.Len() {
			drawAll(v.Index(i), rng)
		}
	}
}
