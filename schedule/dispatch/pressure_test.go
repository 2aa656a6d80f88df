package dispatch

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Guards against interference models that grow with each image that callers name,
// until the store refuses their record.
func TestModelsAreBounded(t *testing.T) {
	is := is.New(t)
	var s Shard
	e := &Executor{Registration: Registration{Capacity: unit.Resources{CPU: 8000}}}
	now := clock.Millis(1000)
	for n := range 20 * maxModelImages {
		now += 500
		task := TaskID{Job: "service", Index: n / maxModelImages}
		s.trainModels(now, e, &interferenceSample{
			at:            now,
			tailLatencies: map[TaskID]tailLatency{task: {unit.Image(fmt.Sprintf("s%d", n/maxModelImages)), 10 + float64(n%7), 50}},
			usage:         map[unit.Image]float64{unit.Image(fmt.Sprintf("b%d", n)): 0.5, "usual": float64(n % 2)},
		})
	}
	is.Equal(len(s.interferenceModels), maxModels)
	for image, m := range s.interferenceModels {
		is.True(m.valid())
		is.True(len(m.index) <= maxModelImages)
		_, ok := m.index["usual"]
		is.True(ok) // an image with much information stays
		is.True(image >= "s4" || image >= "s1" && len(image) == 3)
	}
}

// Guards against a sample with more images than a model holds, which would add
// their usage to the rows of others.
func TestSamplesWithManyImages(t *testing.T) {
	is := is.New(t)
	var m InterferenceModel
	change := make(map[unit.Image]float64)
	for n := range 2 * maxModelImages {
		change[unit.Image(fmt.Sprint(n))] = 1
	}
	m.addSample(change, 0.1)
	m.Least = 1
	is.True(m.valid())
	is.Equal(len(m.index), maxModelImages)
	for i := range m.Sums {
		is.Equal(m.Moments[i], 0.1)
		for k := range m.Sums[i] {
			is.Equal(m.Sums[i][k], 1.0)
		}
	}
}
