package dispatch

import (
	"fmt"
	"maps"
	"math"
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
	m.addSample(change, 0.1, 1)
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
					is.True(len(e.servingTasks) <= min(len(sample.tailLatencies), maxModels+1))
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

// Guards against run lists that take seconds or hundreds of megabytes, since each
// serving task is weighed by itself with all best-effort tasks beside it. The tasks of
// an image together must count as the one with the least headroom.
func TestServingTasksOfAnImage(t *testing.T) {
	is := is.New(t)
	s := Shard{Limits: DefaultLimits}
	e := &Executor{Registration: Registration{Capacity: unit.Resources{CPU: 16000}}}
	sample := interferenceSample{at: 1000, usage: map[unit.Image]float64{"b0": 0.1, "b1": 0.2}}
	for n := range maxTasks {
		image := unit.Image(fmt.Sprint("s", n%(2*maxModels)))
		sample.addRun(e, &Step{TailTarget: 50, Image: image}, &RunningRun{Task: TaskID{Job: "j", Index: n}, Progress: fullPace, Measurement: int64(10 + n%17)})
	}
	s.updateInterference(1000, e, &sample)
	is.Equal(len(e.servingTasks), maxModels+1)
	least := make(map[*InterferenceModel]float64)
	for _, tail := range sample.tailLatencies {
		model := s.interferenceModels[tail.image]
		estimate := model
		if model == nil {
			estimate = &InterferenceModel{Least: tail.latency}
		}
		own := estimate.loadAt(tail.latency) - 0.1*model.weight("b0") - 0.2*model.weight("b1")
		headroom := max(0, estimate.loadAt(targetTailRatio*tail.target)-max(0, own))
		if known, ok := least[model]; !ok || headroom < known {
			least[model] = headroom
		}
	}
	for _, serving := range e.servingTasks {
		is.True(math.Abs(serving.headroom-least[serving.model]) < 1e-9)
	}
}

// Guards against a model that learns less or more from the tasks of an image together
// than from each of them.
func TestSamplesOfSeveralTasks(t *testing.T) {
	is := is.New(t)
	var together, single InterferenceModel
	change := map[unit.Image]float64{"b0": 0.5, "b1": -0.25}
	together.addSample(change, 0.25+0.5-0.125, 3)
	for _, load := range []float64{0.25, 0.5, -0.125} {
		single.addSample(change, load, 1)
	}
	for image, n := range single.index {
		is.Equal(together.Moments[together.index[image]], single.Moments[n])
		for other, k := range single.index {
			is.Equal(together.Sums[together.index[image]][together.index[other]], single.Sums[n][k])
		}
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
