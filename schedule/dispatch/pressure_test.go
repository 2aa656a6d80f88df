package dispatch

import (
	"fmt"
	"maps"
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

// Guards against a sample with more serving images than there are models, which ended
// the owner of the shard and each of its successors with a nil dereference.
func TestMoreServingImagesThanModels(t *testing.T) {
	for name, c := range map[string]struct{ images, executors int }{
		"one more on one executor":    {maxModels + 1, 1},
		"many more on one executor":   {8 * maxModels, 1},
		"more over three executors":   {40, 3},
		"as many as there are models": {maxModels, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s Shard
			executors := make([]*Executor, c.executors)
			for i := range executors {
				executors[i] = &Executor{Registration: Registration{Capacity: unit.Resources{CPU: 16000}}}
			}
			now := clock.Millis(1000)
			serve := func(prefix string) {
				for i, e := range executors {
					sample := interferenceSample{at: now, usage: map[unit.Image]float64{"b": float64(now % 2000 / 500)}}
					for n := i; n < c.images; n += c.executors {
						image := unit.Image(fmt.Sprintf("%s%02d", prefix, n))
						sample.addRun(e, &Step{TailTarget: 50, Image: image}, &RunningRun{Task: TaskID{Job: "service", Index: n}, Progress: fullPace, Measurement: 20})
					}
					s.updateInterference(now, e, &sample)
					is.Equal(len(e.servingTasks), len(sample.tailLatencies))
				}
				now += 500
			}
			serve("a")
			first := maps.Clone(s.interferenceModels)
			is.Equal(len(first), min(c.images, maxModels))
			for range 10 {
				serve("a")
			}
			is.Equal(s.interferenceModels, first) // a model in use is kept
			for _, e := range executors {
				for _, serving := range e.servingTasks {
					is.True(serving.headroom > 0) // best-effort tasks may run beside an image without a model
				}
			}
			now = now.Add(modelRetention)
			serve("b")
			is.Equal(len(s.interferenceModels), min(c.images, maxModels))
			for image := range s.interferenceModels {
				is.Equal(image[0], byte('b')) // one that isn't used is replaced
			}
		})
	}
}

// Guards against restored models that are replaced before their images are sampled.
func TestRestoredModelsCountAsSampled(t *testing.T) {
	is := is.New(t)
	stored := make(map[unit.Image]*InterferenceModel)
	for n := range maxModels {
		stored[unit.Image(fmt.Sprint("stored", n))] = &InterferenceModel{Least: 10}
	}
	var s Shard
	now := clock.Millis(60_000)
	s.RestoreInterferenceModels(now, stored)
	is.Equal(s.addModel(now.Add(modelRetention-1), "new", 10), nil)
	is.True(s.addModel(now.Add(modelRetention), "new", 10) != nil)
	is.Equal(len(s.interferenceModels), maxModels)
}
