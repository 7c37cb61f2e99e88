package pool

import "time"

// Ends are acknowledged in order. If a change of a job cannot be stored, all later ends of the
// runners on which its tasks have ended stay listed, of whatever jobs they are. A runner lists a
// limited number of them; its owner learns of no others, and the tasks and their room stay taken. Two
// rules keep that from spreading: a runner gets no batch task whose end it might not list, and a
// job whose changes are not stored, while those of others are, is confined to the runners on which
// its ends wait already.

// endsReserveDivisor is the part of the ends that a runner can list which is kept for persistent
// tasks, for which there is no such limit as they rarely end, and for gangs.
const endsReserveDivisor = 10

// canListEnd reports whether the runner will list the end of a further batch task, besides the ends that
// it lists and those of its batch tasks.
func (p *Pool) canListEnd(r *runnerState) bool {
	limit := p.options.MaxListedEnds - p.options.MaxListedEnds/endsReserveDivisor
	return r.listedEnds+r.batchTasks < limit
}

// awaitsSave reports whether an end of a job waits on the runner until it is stored.
func (r *runnerState) awaitsSave(j *jobState) bool {
	for i := range r.pendingEnds {
		if e := &r.pendingEnds[i]; e.job == j && !e.saved() {
			return true
		}
	}
	return false
}

// recordFailedSave confines a job if changes of others were stored since its first write failed.
func (p *Pool) recordFailedSave(now time.Time, j *jobState) {
	if j.unsavedSince.IsZero() {
		j.unsavedSince = now
	}
	if !j.confined && p.lastSaved.After(j.unsavedSince) {
		j.confined = true
		p.emit(&LogDecision{Job: j.id(), Decision: "jobConfined", Reason: "its changes are not stored, those of others are", DataAge: now.Sub(j.unsavedSince)})
	}
}

// recordSave ends the confinement of a job.
func (p *Pool) recordSave(now time.Time, j *jobState) {
	p.lastSaved = now
	if j.confined {
		p.emit(&LogDecision{Job: j.id(), Decision: "jobReleased", Reason: "its changes are stored again", DataAge: now.Sub(j.unsavedSince)})
		p.dispatchNeeded = true
	}
	j.unsavedSince, j.confined = time.Time{}, false
}
