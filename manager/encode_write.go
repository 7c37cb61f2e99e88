package manager

import (
	"bronzestair/core/pool"
	"bronzestair/core/table"
)

// newWrite returns the write of a SaveProgress or FinishJob effect.
func newWrite(effect pool.Effect) (w *write, err error) {
	switch e := effect.(type) {
	case *pool.SaveProgress:
		w = &write{
			id: e.ID, queue: e.Queue, seq: e.Seq,
			version: table.Version(e.Version), progressVersion: table.Version(e.ProgressVersion),
		}
		w.value, err = e.Progress.Encode()
	case *pool.FinishJob:
		w = &write{
			id: e.ID, queue: e.Queue, seq: e.Seq, finished: true,
			version: table.Version(e.Version), progressVersion: table.Version(e.ProgressVersion),
		}
		w.value, err = e.Outcome.Encode()
	}
	return w, err
}

// compact replaces progress that exceeds a row by its compact form, if all entries can read that.
func (w *writer) compact(pending *write, effect pool.Effect) error {
	e, ok := effect.(*pool.SaveProgress)
	if !ok || w.mayCompact == nil || !w.mayCompact() {
		return nil
	}
	plain := len(pending.value)
	value, err := e.Progress.EncodeCompact(e.Spec)
	if err != nil {
		return err
	}
	w.logger.Info("progress stored in the compact form", "job", pending.id, "queue", pending.queue, "plainBytes", plain, "bytes", len(value))
	pending.value = value
	return nil
}
