package backend

import (
	"context"
	"errors"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"

	"pipitmux/logic"
)

// A value that did not come must not reach the module as an empty queue.
func TestLoadReport(t *testing.T) {
	for _, tt := range []struct {
		text   string
		fields []string
		want   []float64
	}{
		{"inflight=7,queue=2,util=0.61", []string{"pending"}, []float64{2}},
		{"pending=3", []string{"pending"}, []float64{3}},
		{"inflight=7, queue=2", []string{"pending", logic.ReportHeld}, []float64{2, 7}},
		{"inflight=7", []string{"pending"}, nil},
		{"queue=many", []string{"pending"}, nil},
		{"", []string{"pending"}, nil},
		{"queue=2", nil, nil},
	} {
		p := New(Options{Fields: tt.fields}, nil)
		assert.Equal(t, tt.want, p.report(tt.text), "%q as %v", tt.text, tt.fields)
	}
}

// Only what proves that an attempt never ran may be called so.
func TestStagesDecideTheResult(t *testing.T) {
	timeout, off, broke := context.DeadlineExceeded, context.Canceled, errors.Join(io.EOF)
	for _, tt := range []struct {
		stage Stage
		err   error
		want  logic.Result
	}{
		{NotConnected, broke, logic.ConnectFailed}, {NotConnected, timeout, logic.ConnectFailed},
		{PartlyWritten, broke, logic.ConnectFailed}, {PartlyWritten, timeout, logic.ConnectFailed},
		{WrittenWhole, broke, logic.Reset}, {WrittenWhole, timeout, logic.TimedOut},
		{AnswerBegun, broke, logic.Reset}, {AnswerBegun, timeout, logic.TimedOut},
		{NotConnected, off, logic.Canceled}, {AnswerBegun, off, logic.Canceled},
	} {
		assert.Equal(t, tt.want, (&Error{tt.stage, tt.err}).result(), "%s, %v", stageNames[tt.stage], tt.err)
	}
}
