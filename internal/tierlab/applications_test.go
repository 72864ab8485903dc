package tierlab

import (
	"testing"

	"github.com/stretchr/testify/assert"

	tierfakes "oakseam/internal/fakes/tier"
)

// An application must call the core machine of its own zone first, or a cut of its zone shows nothing.
func TestApplicationsCallTheCoreOfTheirZoneFirst(t *testing.T) {
	var cores []*machine
	for i, zone := range zones {
		cores = append(cores, &machine{Machine: &tierfakes.Machine{Name: zone + "-core", Zone: zone, IP: "127.20.0." + string(rune('1'+i))}})
	}
	for _, zone := range zones {
		order := nearestFirst(cores, zone)
		assert.Equal(t, zone+"-core", order[0].Machine)
		assert.Len(t, order, len(zones))
	}
}

// The processes must be told the bounds by which the auditor judges them.
func TestSettingsStateTheBoundsOfTheAuditor(t *testing.T) {
	table := timingBounds()
	assert.EqualValues(t, evacuateBound.Milliseconds(), table["evacuateMs"])
	assert.EqualValues(t, mergeBound.Milliseconds(), table["mergeMs"])
	assert.EqualValues(t, contactBound.Milliseconds(), table["contactMs"])
}
