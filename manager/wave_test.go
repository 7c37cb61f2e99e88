package manager

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bronzestair/core/maintenance"
)

// TestCompletedWaveIsNotReportedAgain guards against a new owner of the fleet that reports
// a wave again that a previous owner has reported as completed.
func TestCompletedWaveIsNotReportedAgain(t *testing.T) {
	for _, c := range []struct {
		name     string
		stored   map[maintenance.WaveNumber]waveRecord
		reported int
	}{
		{"no stored progress", nil, 1},
		{"completed", map[maintenance.WaveNumber]waveRecord{3: {Completed: true}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := &Manager{logger: slog.New(slog.DiscardHandler)}
			m.waves = map[maintenance.WaveNumber]maintenance.Wave{3: {Number: 3, Instances: []maintenance.InstanceID{"m0"}}}
			f := &fleetOwner{m: m, seenWaves: map[maintenance.WaveNumber]bool{}, storedWaves: c.stored}
			planner := maintenance.New(maintenance.Options{})
			f.refresh(context.Background(), planner)
			now := time.Now()
			planner.Reduce(now, &maintenance.InstancesListed{RequestedAt: now})
			reported := 0
			for _, e := range planner.Reduce(now, maintenance.Ticked{}) {
				if _, ok := e.(*maintenance.ReportWave); ok {
					reported++
				}
			}
			if diff := cmp.Diff(c.reported, reported); diff != "" {
				t.Errorf("reports (-want +got):\n%s", diff)
			}
		})
	}
}
