package delays_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tamarindworks/tamarindworks/internal/delays"
)

// cases are logs of one submission, accepted at 100 s, and its time by cause in
// tenths of a second.
var cases = map[string]struct {
	logs []string
	want map[delays.Cause]int
}{
	"no problems": {
		logs: []string{
			`{"ts":100.1,"msg":"run: ordered","subtask":"s.0.0.0","run":1,"worker":"w"}`,
			`{"ts":101.1,"msg":"run: ended","subtask":"s.0.0.0","run":1,"kind":"done"}`,
			`{"ts":101.2,"msg":"submission: recorded as ended","submission":"s"}`,
		},
		want: map[delays.Cause]int{delays.Waiting: 1, delays.Running: 10, delays.Recording: 1},
	},
	"a second step that waits for a worker": {
		logs: []string{
			`{"ts":100,"msg":"run: ordered","subtask":"s.0.0.0","run":1}`,
			`{"ts":101,"msg":"run: ended","subtask":"s.0.0.0","run":1,"kind":"done"}`,
			`{"ts":103,"msg":"run: ordered","subtask":"s.0.1.0","run":2}`,
			`{"ts":104,"msg":"run: ended","subtask":"s.0.1.0","run":2,"kind":"done"}`,
			`{"ts":104,"msg":"submission: recorded as ended","submission":"s"}`,
		},
		want: map[delays.Cause]int{delays.Waiting: 20, delays.Running: 20},
	},
	"a run that is lost": {
		logs: []string{
			`{"ts":100,"msg":"run: ordered","subtask":"s.0.0.0","run":1}`,
			`{"ts":102,"msg":"run: ended","subtask":"s.0.0.0","run":1,"kind":"failed"}`,
			`{"ts":103,"msg":"run: ordered","subtask":"s.0.0.0","run":2}`,
			`{"ts":104,"msg":"run: ended","subtask":"s.0.0.0","run":2,"kind":"done"}`,
			`{"ts":104,"msg":"submission: recorded as ended","submission":"s"}`,
		},
		want: map[delays.Cause]int{delays.Lost: 30, delays.Running: 10},
	},
	"a run far slower than its siblings": {
		logs: []string{
			`{"ts":100,"msg":"run: ordered","subtask":"s.0.0.0","run":1}`,
			`{"ts":100,"msg":"run: ordered","subtask":"s.0.0.1","run":2}`,
			`{"ts":100,"msg":"run: ordered","subtask":"s.0.0.2","run":3}`,
			`{"ts":101,"msg":"run: ended","subtask":"s.0.0.0","run":1,"kind":"done"}`,
			`{"ts":101,"msg":"run: ended","subtask":"s.0.0.1","run":2,"kind":"done"}`,
			`{"ts":105,"msg":"run: ended","subtask":"s.0.0.2","run":3,"kind":"done"}`,
			`{"ts":105,"msg":"submission: recorded as ended","submission":"s"}`,
		},
		want: map[delays.Cause]int{delays.Running: 16, delays.Slow: 34},
	},
	"only the end is logged": {
		logs: []string{`{"ts":103,"msg":"submission: recorded as ended","submission":"s"}`},
		want: map[delays.Cause]int{delays.Waiting: 30},
	},
}

func TestRead(t *testing.T) {
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			logs := append([]string{`100.0 node {"ts":100,"msg":"submission: accepted","submission":"s","pool":"p"}`, "no log line"}, c.logs...)
			breakdowns, err := delays.Read(strings.NewReader(strings.Join(logs, "\n")))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(breakdowns).To(HaveLen(1))
			got := map[delays.Cause]int{}
			for cause, took := range breakdowns[0].ByCause() {
				got[cause] = int(took.Round(time.Second/100) / (time.Second / 10))
			}
			g.Expect(got).To(Equal(c.want))
		})
	}
}

// A submission that has not ended has no breakdown.
func TestReadSkipsUnfinished(t *testing.T) {
	g := NewWithT(t)
	breakdowns, err := delays.Read(strings.NewReader(`{"ts":100,"msg":"submission: accepted","submission":"s"}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(breakdowns).To(BeEmpty())
}
