package main

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestDemoCountsAgree(t *testing.T) {
	report, err := runDemo(t.Context(), 500)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{}, report.Violations); diff != "" {
		t.Errorf("violations (-want +got):\n%s", diff)
	}
	if report.Executions < report.Answered {
		t.Errorf("%d executions for %d answers", report.Executions, report.Answered)
	}
}
