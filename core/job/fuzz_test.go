package job

import "testing"

// FuzzStoredRows checks that no stored value makes a decoder panic, and that a decoded
// record is a valid job.
func FuzzStoredRows(f *testing.F) {
	for _, value := range []string{
		`{"pool":"booking","queue":"seats","id":"5c0e7a21d94b36f8","spec":{"steps":[{"count":2}]},"accepted":"2026-01-01T00:00:00Z"}`,
		`{"state":"completed","at":"2026-01-01T00:00:00Z"}`, `{"done":{"0.0":"Aw=="},"failed":{"0.0.1":[1]}}`,
		`{"done":{"":null}}`, `{"id":"x"}`, `[]`, `null`, "\xff",
	} {
		f.Add([]byte(value))
	}
	compact, err := (&Progress{Done: map[string][]byte{"2.0": {3}}, Failed: map[string]FailedRuns{"2.0.3": {1, 4}}, FinishedOccurrences: 2}).EncodeCompact(&Spec{Steps: []Step{{Count: 5}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(compact)
	f.Fuzz(func(t *testing.T, value []byte) {
		if r, err := DecodeRecord(value); err == nil {
			if err := r.Spec.Validate(); err != nil {
				t.Errorf("row %q was accepted: %v", value, err)
			}
		}
		if o, err := DecodeOutcome(value); err == nil && o.State == "" {
			t.Errorf("row %q gives an outcome without a state", value)
		}
		if _, err := DecodeProgress(value); err != nil {
			return
		}
	})
}
