package slot

import "mimosadock/schedule/unit"

// noDemand marks an ordinal that takes no part in the division: no holder has
// it, or the holder is leaving or has sent no demand.
const noDemand unit.Slots = -1

// divide sets fairShare to the max-min fair shares of capacity for the demands.
// It sets target to the fair shares plus an equal part of the remaining
// capacity. Rows whose demand is noDemand get zero. The slices must have the
// same length. Shares are whole numbers; earlier rows get the remainders.
func divide(fairShare, target, demand []unit.Slots, capacity unit.Slots) {
	remaining, holders := max(0, capacity), unit.Slots(0)
	clear(fairShare)
	for _, d := range demand {
		if d != noDemand {
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
		if d == noDemand {
			continue
		}
		target[i] += remaining / holders
		if index < remaining%holders {
			target[i]++
		}
		index++
	}
}
