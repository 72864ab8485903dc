package adminapi

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
)

// fakeTallies records the last add and answers as it is told.
type fakeTallies struct {
	tally, member string
	amount        int64
	adds          int
	err           error
	total         int64
}

func (f *fakeTallies) Add(_ context.Context, tally, member string, amount int64) error {
	f.adds++
	f.tally, f.member, f.amount = tally, member, amount
	return f.err
}

func (f *fakeTallies) Total(tally string) (int64, error) {
	f.tally = tally
	return f.total, f.err
}

func TestTalliesAreModifiedAndShown(t *testing.T) {
	fake := &fakeTallies{total: 1<<63 - 1}
	conn := dial(t, serve(t, Options{Authority: new(fakeAuthority), Tallies: fake}))
	status, body := conn.call("POST", "/api/Tallies.Modify/t%203", "", `{"memberId":"5c0e","heldBy":4}`)
	assert.Equal(t, status, 200)
	assert.Equal(t, body, `{}`)
	assert.Equal(t, fmt.Sprintf("%s|%s|%d", fake.tally, fake.member, fake.amount), "t 3|5c0e|4")
	status, body = conn.call("GET", "/api/Tallies.Show/t3", "", "")
	assert.Equal(t, status, 200)
	assert.Equal(t, body, `{"total":9223372036854775807}`)
}

// 503 promises that nothing was done, so an add that may be written must get another status.
func TestAddThatMayCountDoesNotGet503(t *testing.T) {
	fake := &fakeTallies{}
	conn := dial(t, serve(t, Options{Authority: new(fakeAuthority), Tallies: fake}))
	for _, c := range []struct {
		err    error
		status int
	}{
		{ErrUnavailable, 503}, {errors.Wrap(ErrUnavailable, "x"), 503}, {ErrTallyConflict, 409}, {ErrTallyTooLarge, 400},
		{ErrTallyUncertain, 504}, {errors.New("any other"), 500}, {context.DeadlineExceeded, 500},
	} {
		fake.err = c.err
		status, _ := conn.call("POST", "/api/Tallies.Modify/t", "", `{"memberId":"a","heldBy":0}`)
		assert.Equal(t, status, c.status, "%v", c.err)
	}
	status, _ := conn.call("GET", "/api/Tallies.Show/t", "", "")
	assert.Equal(t, status, 503)
}

// Nothing of an invalid add may be counted.
func TestInvalidAddIsNotCounted(t *testing.T) {
	fake := &fakeTallies{}
	conn := dial(t, serve(t, Options{Authority: new(fakeAuthority), Tallies: fake}))
	for _, body := range []string{
		``, `null`, `4`, `[]`, `{`, `{}`, `{"memberId":"a"}`, `{"heldBy":4}`, `{"memberId":"","heldBy":4}`, `{"memberId":7,"heldBy":4}`,
		`{"memberId":null,"heldBy":4}`, `{"memberId":"a","heldBy":null}`, `{"memberId":"a","heldBy":"4"}`, `{"memberId":"a","heldBy":-1}`,
		`{"memberId":"a","heldBy":1.5}`, `{"memberId":"a","heldBy":9223372036854775808}`, `{"memberId":"a","heldBy":true}`,
		`{"memberId":"a","heldBy":4}x`, `{"memberId":"` + strings.Repeat("a", maxTallyMember+1) + `","heldBy":4}`,
	} {
		status, _ := conn.call("POST", "/api/Tallies.Modify/t", "", body)
		assert.Equal(t, status, 400, body)
	}
	for _, name := range []string{strings.Repeat("t", maxTallyName+1), "%ff"} {
		status, _ := conn.call("POST", "/api/Tallies.Modify/"+name, "", `{"memberId":"a","heldBy":4}`)
		assert.Equal(t, status, 400, name)
		status, _ = conn.call("GET", "/api/Tallies.Show/"+name, "", "")
		assert.Equal(t, status, 400, name)
	}
	status, _ := conn.call("POST", "/api/Tallies.Modify/t", "", strings.Repeat(" ", maxTallyBody+1))
	assert.Equal(t, status, 413)
	assert.Equal(t, fake.adds, 0)
}
