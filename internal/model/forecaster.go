package model

// forecaster simulates a schedule beyond the present. It keeps the simulated state apart, so that the schedule and its
// tasks do not change.
type forecaster struct {
	*Schedule
	candidate *Task

	tasks            []*Task   // of the engine, and the candidate last
	prefillLeft      []float64 // by task, remaining prefill
	prefillEnds      []float64 // by task, time from now until its prefill ends
	finished         []bool    // by task, whether its answer has ended
	prefillQueue     []int     // tasks by index, in the order of prefill
	pendingPrefills  int       // number of tasks with prefill remaining
	slotsFull        bool      // there are more prompts than slots
	expectedFinishes float64   // expected number of answers that have ended, less those marked as finished
	elapsed          float64   // simulated time since now
	longestPass      float64   // duration of the longest pass
	sequences        int       // being decoded
	contextTokens    int       // of the sequences' prompts
	decodesOthers    bool      // see Forecast.DecodesOthers
}

// run simulates passes until all prefill has ended, at most maxForecastPasses; the prefill that is left then is taken to
// run without interruption.
func (f *forecaster) run() Forecast {
	f.prepare()
	for range maxForecastPasses {
		if f.pendingPrefills == 0 || f.sequences == 0 && len(f.prefillQueue) == 0 {
			break
		}
		f.runPass()
	}
	for i, remaining := range f.prefillLeft {
		if remaining > 0 {
			f.prefillEnds[i] = f.elapsed + remaining*f.slowdown()
		}
	}
	return Forecast{PrefillEnds: f.prefillEnds, LongestPass: f.longestPass, DecodesOthers: f.decodesOthers}
}

// prepare copies the state and completes the current pass, then adds the candidate. If the candidate would reach the engine
// too late for the next pass, that pass is run before.
func (f *forecaster) prepare() {
	size := len(f.Tasks) + 1
	f.tasks, f.prefillQueue = make([]*Task, 0, size), make([]int, 0, size)
	f.prefillLeft, f.prefillEnds, f.finished = make([]float64, 0, size), make([]float64, 0, size), make([]bool, 0, size)
	for _, t := range f.Tasks {
		f.add(t)
	}
	f.elapsed = max(0, f.passEnd-f.asOf)
	for i, t := range f.tasks {
		if f.prefillLeft[i] -= t.passPrefill; f.prefillLeft[i] >= epsilon {
			f.pendingPrefills++
			continue
		}
		f.prefillLeft[i] = 0
		if t.PrefillLeft > 0 {
			f.prefillEnds[i] = f.elapsed
		}
		f.startDecoding(t)
	}
	if f.passEnd > 0 {
		f.finishAnswers()
	}
	f.rebuildQueue()
	if f.candidate == nil {
		return
	}
	if f.sequences > 0 && f.elapsed < deliveryDelay {
		f.runPass()
	}
	f.add(f.candidate)
	f.pendingPrefills++
	f.rebuildQueue()
}

// add appends a task with its remaining prefill.
func (f *forecaster) add(t *Task) {
	f.tasks = append(f.tasks, t)
	f.prefillLeft = append(f.prefillLeft, t.PrefillLeft)
	f.finished = append(f.finished, false)
	f.prefillEnds = append(f.prefillEnds, 0)
}

// rebuildQueue lists the tasks that have a slot and prefill remaining, in the order of prefill.
func (f *forecaster) rebuildQueue() {
	f.prefillQueue, f.slotsFull = f.prefillQueue[:0], false
	for i := len(f.tasks) - 1; i >= 0; i-- {
		if f.tasks[i].Helper && f.prefillLeft[i] > 0 {
			f.prefillQueue = append(f.prefillQueue, i)
		}
	}
	free := f.Engine.slots()
	for i, t := range f.tasks {
		if t.Helper || f.finished[i] {
			continue
		}
		if free--; free < 0 {
			f.slotsFull = true
			return
		}
		if f.prefillLeft[i] > 0 {
			f.prefillQueue = append(f.prefillQueue, i)
		}
	}
}

// startDecoding adds the sequence of a task that is prefilled.
func (f *forecaster) startDecoding(t *Task) {
	if !t.Helper {
		f.sequences++
		f.contextTokens += t.PromptTokens
	}
}

// finishAnswers ends as many answers as end in a pass on average, the oldest first. Which ones really end is unknown, since
// the length of an answer is not known in advance.
func (f *forecaster) finishAnswers() {
	for i, t := range f.tasks {
		if f.decoding(i) {
			f.expectedFinishes += 1 / float64(max(t.DecodePasses, 1))
		}
	}
	for i, t := range f.tasks {
		if f.expectedFinishes < 1 {
			return
		}
		if f.decoding(i) {
			f.finished[i] = true
			f.expectedFinishes--
			f.sequences--
			f.contextTokens -= t.PromptTokens
		}
	}
}

// decoding reports whether the answer to a task, given by index, is being generated.
func (f *forecaster) decoding(i int) bool {
	return !f.tasks[i].Helper && f.prefillLeft[i] <= 0 && !f.finished[i]
}

// runPass completes the first prefill if nothing is being decoded, or else runs one pass with as much prefill as fits.
func (f *forecaster) runPass() {
	if f.sequences == 0 {
		i := f.prefillQueue[0]
		f.elapsed += f.prefillLeft[i] * f.slowdown()
		f.prefillLeft[i] = 0
		f.removePrefilled()
		return
	}
	length := f.Engine.DecodePassTime(f.sequences, f.contextTokens)
	tokens := f.Engine.MaxPassTokens()
	for _, i := range f.prefillQueue {
		if tokens <= 0 {
			break
		}
		var time float64
		time, tokens = f.tasks[i].fitPass(f.prefillLeft[i], tokens)
		f.prefillLeft[i] -= time
		length += time
	}
	length *= f.slowdown()
	f.elapsed += length
	f.longestPass = max(f.longestPass, length)
	if f.slotsFull {
		f.finishAnswers()
	}
	f.removePrefilled()
	if f.slotsFull {
		f.rebuildQueue()
	}
}

// removePrefilled removes tasks that are prefilled from the queue.
func (f *forecaster) removePrefilled() {
	rest := f.prefillQueue[:0]
	for _, i := range f.prefillQueue {
		if f.prefillLeft[i] >= epsilon {
			rest = append(rest, i)
			continue
		}
		f.prefillLeft[i] = 0
		f.pendingPrefills--
		f.prefillEnds[i] = f.elapsed
		if f.tasks[i] == f.candidate {
			f.decodesOthers = f.sequences > 0
		}
		f.startDecoding(f.tasks[i])
	}
	f.prefillQueue = rest
}
