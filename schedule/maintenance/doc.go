// Package maintenance plans waves of upkeep: each machine of a wave goes down
// once within a time, and no more than a given number at once.
//
// A [Plan] holds the tables of waves and their machines. Its owner tells it what
// happened and calls [Plan.Turn], which returns what is to be done next. A
// machine is evacuated before it goes down. One whose evacuation takes long goes
// down all the same, unless that would take a task away whose step can't spare
// it. Nothing here knows a network or an encoding; time is an argument.
package maintenance
