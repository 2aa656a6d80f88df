package slot

import "mimosadock/schedule/unit"

// absent is the demand of an ordinal that no holder has.
const absent unit.Slots = -1

// divide sets need to the max-min fair shares of capacity for the demands, and
// target to those plus an equal part of what is left. Absent rows get nothing.
// The slices must have the same length. Shares are whole; earlier rows get the
// remainders.
func divide(need, target, demand []unit.Slots, capacity unit.Slots) {
	left, present := max(0, capacity), unit.Slots(0)
	clear(need)
	for _, d := range demand {
		if d != absent {
			present++
		}
	}
	for open := present; open > 0 && left > 0; {
		share := max(1, left/open)
		open = 0
		for i, d := range demand {
			give := max(0, min(d-need[i], share, left))
			need[i] += give
			left -= give
			if need[i] < d {
				open++
			}
		}
	}
	rank := unit.Slots(0)
	for i, d := range demand {
		target[i] = need[i]
		if d == absent {
			continue
		}
		target[i] += left / present
		if rank < left%present {
			target[i]++
		}
		rank++
	}
}
