package maintenance

import "time"

// planMoves moves instances between pools as demand changes.
func (p *Planner) planMoves(time.Time) {}
