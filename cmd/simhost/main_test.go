package main

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"oakseam/internal/simproto"
	"oakseam/logic"
)

// settings are the settings of an INIT message.
const settings = "classes.count=2 classes.0.name=get classes.0.effect=safe classes.0.slo-us=100000 " +
	"classes.0.deadline-us=400000 classes.0.worth=2.0 classes.1.name=pay classes.1.effect=unsafe " +
	"classes.1.slo-us=100000 classes.1.deadline-us=400000 tick-us=1000 a.new.key=7 limits.second-copies=true " +
	"limits.cancelling=true rules.answer-slack-us=5000 replicas-of-me=2 locality=east"

// start starts instance 0 with two servers.
const start = "CLOCK 1000 1\nINIT 0 5 " + settings + "\nREGISTER 0 2\nM 1 SERVING - k east backend.a 0\n" +
	"M 1.5 SERVING 0 k west backend.b 1\nSYNC 0 C 1 0\nEND\n"

// runInput runs the host on input and returns its output.
func runInput(input string) (string, error) {
	var out bytes.Buffer
	err := run(strings.NewReader(input), &out)
	return out.String(), err
}

// Valid input must give exactly the expected lines.
func TestReplies(t *testing.T) {
	for _, tt := range []struct{ name, input, want string }{
		{"no input", "", "^$"},
		{"empty batch", "CLOCK 8412250 1\nEND\n", "^FINISHED 1\n$"},
		{"start", start, "^FINISHED 1\n$"},
		{"request and answer", start + "CLOCK 2000 2\nKNOCK 0 r1 0 get 0 - 300000 - -\nEND\n" +
			"CLOCK 9000 3\nENDED 0 r1 Ok 0 1 backend.a 7000 -\nEND\n",
			`^FINISHED 1\nSCHEDULE 0 \d+ \d+\n(SCHEDULE 0 \d+ \d+\n)?FORWARD 0 r1 backend.[ab] \d+\nFINISHED 2\nHANG_UP 0 backend.[ab]\nFINISHED 3\n$`},
		{"client gone after the answer", start + "CLOCK 2000 2\nKNOCK 0 r1 0 nonesuch 0 - 300000 - -\nTIMED_OUT_CLIENT 0 r1\nEND\n",
			`^FINISHED 1\nREJECT 0 r1 0\nFINISHED 2\n$`},
		{"restart in a batch", start + "CLOCK 2000 2\nDETACH 0\nINIT 0 6 " + settings + "\nSYNC 0 C 1 0\nEND\n", "FINISHED 2\n$"},
		{"list number reused in a batch", start + "CLOCK 2000 2\nREGISTER 0 1\nM 1 DELETED - k east backend.a 0\nSYNC 0 D 2 0\n" +
			"REGISTER 0 1\nM 1 DELETED - k west backend.b 0\nSYNC 0 D 3 0\nKNOCK 0 r1 0 get 0 - 300000 - -\nEND\n", `REJECT 0 r1 0\nFINISHED 2\n$`},
		{"no classes", "CLOCK 1 1\nINIT 0 5 tick-us=1000\nEND\n", `^BUG 0 settings: no classes\nFINISHED 1\n$`},
		{"invalid setting", "CLOCK 1 1\nINIT 0 5 " + strings.Replace(settings, "safe", "odd", 1) + "\nSYNC 0 X 1 -\nEND\n", `^BUG 0 .*effect.*odd.*\nFINISHED 1\n$`},
		{"peer message and probe", start + "CLOCK 2000 2\nDATAGRAM 0 1 6869\nPONG 0 backend.a Ok 900 1.5,-\nEND\n", "FINISHED 2\n$"},
	} {
		got, err := runInput(tt.input)
		if err != nil {
			t.Errorf("%s: %v", tt.name, err)
		}
		if !regexp.MustCompile(tt.want).MatchString(got) {
			t.Errorf("%s: got %q, want %s", tt.name, got, tt.want)
		}
	}
}

// badInputs are invalid inputs and the line that the error must name.
var badInputs = []struct {
	name, input string
	line        int
}{
	{"not a clock", "END\n", 1},
	{"bad time", "CLOCK x 1\nEND\n", 1},
	{"input ends in a batch", "CLOCK 1 1\n", 2},
	{"input ends in a line", "CLOCK 1 1\nEN", 2},
	{"unknown message", "CLOCK 1 1\nHELLO 0\nEND\n", 2},
	{"too few values", "CLOCK 1 1\nWAKE 0\nEND\n", 2},
	{"too many values", "CLOCK 1 1\nWAKE 0 1 2\nEND\n", 2},
	{"never started", "CLOCK 1 1\nWAKE 3 1\nEND\n", 2},
	{"list never defined", start + "CLOCK 2 2\nSYNC 0 F 1 4\nEND\n", 9},
	{"wrong count", "CLOCK 1 1\nREGISTER 0 2\nM 1 SERVING - k z a 0\nEND\n", 4},
	{"count too large", "CLOCK 1 1\nREGISTER 0 99999999999\nEND\n", 2},
	{"list number", "CLOCK 1 1\nREGISTER 16 0\nEND\n", 2},
	{"bad state", "CLOCK 1 1\nREGISTER 0 1\nM 1 ASLEEP - k z a 0\nEND\n", 3},
	{"bad outcome", start + "CLOCK 2 2\nENDED 0 r Fine 0 0 a 1 -\nEND\n", 9},
	{"bad bool", start + "CLOCK 2 2\nENDED 0 r Ok 0 yes a 1 -\nEND\n", 9},
	{"bad report", start + "CLOCK 2 2\nPONG 0 a Ok 1 x\nEND\n", 9},
	{"bad bytes", start + "CLOCK 2 2\nDATAGRAM 0 1 xyz\nEND\n", 9},
	{"blank line", "CLOCK 1 1\n\nEND\n", 2},
}

// Invalid input must give an error of one line with the right line number, and no output for its batch.
func TestBadInput(t *testing.T) {
	for _, tt := range badInputs {
		out, err := runInput(tt.input)
		var lineError *simproto.LineError
		if !errors.As(err, &lineError) || lineError.Line != tt.line || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line that names input line %d", tt.name, err, tt.line)
		}
		if rest := strings.ReplaceAll(out, "FINISHED 1\n", ""); rest != "" {
			t.Errorf("%s: unexpected output %q", tt.name, out)
		}
	}
}

// TestExitStatus runs the built program. Invalid input must give status 1 and one line on
// standard error.
func TestExitStatus(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "simhost")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for input, want := range map[string]int{"CLOCK 1 1\nEND\n": 0, "CLOCK 1 1\nWHAT\n": 1} {
		cmd := exec.Command(bin)
		cmd.Stdin = strings.NewReader(input)
		var stderr bytes.Buffer
		cmd.Stderr = &stderr
		cmd.Env = os.Environ()
		cmd.Run()
		if got := cmd.ProcessState.ExitCode(); got != want {
			t.Errorf("%q: exit %d, want %d", input, got, want)
		}
		if n := strings.Count(stderr.String(), "\n"); n != want {
			t.Errorf("%q: %d lines on standard error, want %d", input, n, want)
		}
	}
}

// A panic in the decision module must be reported as the failure of its instance, which stays
// down until it is started again.
func TestPanicIsReported(t *testing.T) {
	h := host{nodes: map[int]*logic.Balancer{}}
	item := &simproto.Item{Node: 3, Event: logic.Wake{Token: 1}}
	got := string(h.event([]byte("SCHEDULE 1 1 1\n"), nil, item, 0))
	if !regexp.MustCompile(`^SCHEDULE 1 1 1\nBUG 3 panic: .*\n$`).MatchString(got) {
		t.Errorf("got %q", got)
	}
	if n, ok := h.nodes[3]; !ok || n != nil {
		t.Error("the instance still runs after its panic")
	}
}

// FuzzRun checks that any input gives replies or an error of one line, and no panic.
func FuzzRun(f *testing.F) {
	f.Add("CLOCK 0 0\nPONG 0  Ok 0 A\n") // two invalid values in a line once gave an error of two lines
	f.Add(start)
	f.Add(start + "CLOCK 2000 2\nKNOCK 0 r1 0 get 0 7 300000 t 900\nWAKE 0 4\nBEGUN 0 r1 5 backend.a 0\nEND\n")
	for _, tt := range badInputs {
		f.Add(tt.input)
	}
	f.Fuzz(func(t *testing.T, input string) {
		out, err := runInput(input)
		if err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("error with more than one line: %q", err)
		}
		if strings.Contains(out, "panic") {
			t.Errorf("panic: %s", out)
		}
		if out != "" && !strings.HasSuffix(out, "\n") {
			t.Errorf("incomplete reply line: %q", out)
		}
	})
}
