package slot

import "mimosadock/schedule/unit"

// noHolder is the demand of an ordinal that no holder has.
const noHolder unit.Slots = -1

// divide sets need to the max-min fair shares of capacity for the demands, and
// target to those plus an equal part of what is left. Absent rows get nothing.
// The slices must have the same length. Shares are whole; earlier rows get the
// remainders.
func divide(fairShare, target, demand []unit.Slots, capacity unit.Slots) {
	remaining, holders := max(0, capacity), unit.Slots(0)
	clear(fairShare)
	for _, d := range demand {
		if d != noHolder {
			holders++
		}
	}
	for unsatisfied := holders; unsatisfied > 0 && remaining > 0; {
		share := max(1, remaining/unsatisfied)
		unsatisfied = 0
		for i, d := range demand {
			give := max(0, min(d-fairShare[i], share, remaining))
			fairShare[i] += give
			remaining -= give
			if fairShare[i] < d {
				unsatisfied++
			}
		}
	}
	index := unit.Slots(0)
	for i, d := range demand {
		target[i] = fairShare[i]
		if d == noHolder {
			continue
		}
		target[i] += remaining / holders
		if index < remaining%holders {
			target[i]++
		}
		index++
	}
}
