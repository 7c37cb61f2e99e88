package pool

// findWantedRacks lists the racks that hold the data of batch steps that are not done. Other tasks
// are placed there only where no other room is left: a task takes twice as long on a rack
// without its data, and most jobs of a queue may name the same one.
func (p *Pool) findWantedRacks() {
	if !p.looksAhead() {
		p.wantedRacks = nil
		return
	}
	if p.wantedRacks == nil {
		p.wantedRacks = map[string]bool{}
	}
	clear(p.wantedRacks)
	for _, j := range p.ranked {
		for _, o := range j.occurrences {
			for _, step := range o.steps {
				if spec := step.spec; spec.DataRack != "" && step.remaining > 0 && !spec.Persistent {
					p.wantedRacks[spec.DataRack] = true
				}
			}
		}
	}
}

// takesWantedRoom reports whether a batch task would take room on a rack that holds the data of
// others. It follows the last ranking of the jobs.
func (p *Pool) takesWantedRoom(t *task, r *runnerState) bool {
	rack := r.Rack()
	return !t.step.spec.Persistent && rack != t.step.spec.DataRack && p.wantedRacks[rack]
}
