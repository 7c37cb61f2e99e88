package job

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// rowBytes is the size of the largest row that the platforms take.
const rowBytes = 64 << 10

// progressOf returns the progress of the occurrences from first on, in which each task is done with
// the given probability and has the failed runs that failed returns otherwise.
func progressOf(spec *Spec, first, occurrences int, done float64, random *rand.Rand, failed func(*rand.Rand) FailedRuns) *Progress {
	p := &Progress{Done: map[string][]byte{}, Failed: map[string]FailedRuns{}, FinishedOccurrences: first}
	for o := first; o < first+occurrences; o++ {
		for s := range spec.Steps {
			var bitmap Bitmap
			for i := range spec.Steps[s].Count {
				if random.Float64() < done {
					bitmap.Set(i)
				} else if runs := failed(random); len(runs) > 0 {
					p.Failed[fmt.Sprintf("%d.%d.%d", o, s, i)] = runs
				}
			}
			if len(bitmap) > 0 {
				p.Done[fmt.Sprintf("%d.%d", o, s)] = bitmap
			}
		}
	}
	return p
}

// TestProgressFitsInARow guards against a row that grows with the work of a job beyond what the
// store takes (LOST): the ends behind those of the job then stay unacknowledged on every runner.
func TestProgressFitsInARow(t *testing.T) {
	steps := func(counts ...int) (out []Step) {
		for _, n := range counts {
			out = append(out, Step{Count: n})
		}
		return out
	}
	// runs returns up to n failed runs under each of several owners.
	runs := func(n, owners int) func(*rand.Rand) FailedRuns {
		return func(random *rand.Rand) (out FailedRuns) {
			for owner := range owners {
				for run := range n {
					if random.IntN(2) == 0 {
						out = append(out, owner*10_000+run+1)
					}
				}
			}
			return out
		}
	}
	cases := map[string]struct {
		steps       []Step
		first       int
		occurrences int
		done        float64
		failed      func(*rand.Rand) FailedRuns
	}{
		"each task has failed once":             {steps: steps(MaxTasks), occurrences: 1, failed: func(*rand.Rand) FailedRuns { return FailedRuns{1} }},
		"several times, under several owners":   {steps: steps(MaxTasks), occurrences: 1, failed: runs(4, 3)},
		"half of them are done":                 {steps: steps(1, MaxTasks/2, MaxTasks/2-1), occurrences: 1, done: 0.5, failed: runs(2, 2)},
		"occurrences with a task that waits":    {steps: steps(1, 1, 1, 1, 1, 1), first: 70_000, occurrences: MaxTasks / 6, done: 0.8, failed: runs(1, 1)},
		"occurrences behind one that waits":     {steps: steps(1), first: 80_000, occurrences: MaxTasks, done: 0.9, failed: runs(3, 1)},
		"many steps":                            {steps: steps(make256()...), occurrences: 39, done: 0.5, failed: runs(2, 1)},
		"a few tasks":                           {steps: steps(100), occurrences: 1, done: 0.5, failed: runs(2, 1)},
		"wide occurrences, some tasks are done": {steps: steps(300, 2), occurrences: 33, done: 0.3, failed: runs(2, 2)},
	}
	for title, c := range cases {
		t.Run(title, func(t *testing.T) {
			p := progressOf(&Spec{Steps: c.steps}, c.first, c.occurrences, c.done, rand.New(rand.NewPCG(1, 1)), c.failed)
			plain, err := p.Encode()
			if err != nil {
				t.Fatal(err)
			}
			value, err := p.EncodeCompact(&Spec{Steps: c.steps})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("plain form %d bytes, compact form %d bytes", len(plain), len(value))
			if len(value) > rowBytes {
				t.Errorf("the compact form has %d bytes, more than %d", len(value), rowBytes)
			}
			for form, value := range map[string][]byte{"plain": plain, "compact": value} {
				decoded, err := DecodeProgress(value)
				if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(p, decoded, cmpopts.EquateEmpty()); diff != "" {
					t.Errorf("decoded %s form (-want +got):\n%s", form, diff)
				}
			}
		})
	}
}

// make256 returns the counts of MaxSteps steps of one task.
func make256() []int {
	counts := make([]int, MaxSteps)
	for i := range counts {
		counts[i] = 1
	}
	return counts
}

// TestBrokenCompactProgress covers rows that no version has written: they must neither be read as
// other progress nor take memory without bound.
func TestBrokenCompactProgress(t *testing.T) {
	whole, err := (&Progress{Done: map[string][]byte{"3.0": {1}}, FinishedOccurrences: 3}).EncodeCompact(&Spec{Steps: []Step{{Count: 2}}})
	if err != nil {
		t.Fatal(err)
	}
	compress := func(text string) []byte {
		var out bytes.Buffer
		compressor := gzip.NewWriter(&out)
		if _, err := compressor.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		if err := compressor.Close(); err != nil {
			t.Fatal(err)
		}
		return out.Bytes()
	}
	cases := map[string][]byte{
		"cut off":            whole[:len(whole)/2],
		"no steps":           compress(`{"done":"/w=="}`),
		"step without tasks": compress(`{"counts":[0],"done":"/w=="}`),
		"too many tasks":     compress(`{"counts":[10000,10000]}`),
		"plain form":         compress(`{"done":{"0.0":"Aw=="}}`),
		"too large":          compress(strings.Repeat(" ", maxCompactBytes) + `{"counts":[1]}`),
	}
	for title, value := range cases {
		if p, err := DecodeProgress(value); err == nil {
			t.Errorf("%s: decoded as %+v, want an error", title, p)
		}
	}
	for key, p := range map[string]*Progress{
		"a step that the job lacks": {Done: map[string][]byte{"0.1": {1}}},
		"a task that the job lacks": {Failed: map[string]FailedRuns{"0.0.2": {1}}},
		"a finished occurrence":     {Done: map[string][]byte{"0.0": {1}}, FinishedOccurrences: 1},
	} {
		if _, err := p.EncodeCompact(&Spec{Steps: []Step{{Count: 2}}}); err == nil {
			t.Errorf("%s is encoded without an error", key)
		}
	}
}
