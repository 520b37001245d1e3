package model

// forecaster runs a schedule ahead of the present on copies of its state.
type forecaster struct {
	*Schedule
	candidate *Task

	tasks         []*Task   // of the engine, and the candidate last
	left          []float64 // by task, remaining prefill
	prefillEnds   []float64 // by task, when its prefill ends
	finished      []bool    // by task, whether its answer has ended
	prefillQueue  []int     // tasks by index, in the order of prefill
	unprefilled   int       // number of tasks with prefill remaining
	slotsFull     bool      // there are more prompts than slots
	dueFinishes   float64   // expected number of answers that have ended but are not marked finished
	elapsed       float64   // since now
	longestPass   float64   // duration of the longest pass
	sequences     int       // being decoded
	contextTokens int       // of the sequences' prompts
	decodesOthers bool      // see Forecast.DecodesOthers
}

func (f *forecaster) run() Forecast {
	f.prepare()
	for range maxForecastPasses {
		if f.unprefilled == 0 || f.sequences == 0 && len(f.prefillQueue) == 0 {
			break
		}
		f.runPass()
	}
	for i, left := range f.left {
		if left > 0 {
			f.prefillEnds[i] = f.elapsed + left*f.slowdown()
		}
	}
	return Forecast{PrefillEnds: f.prefillEnds, LongestPass: f.longestPass, DecodesOthers: f.decodesOthers}
}

// prepare completes the current pass, and also the next one if a candidate would reach the engine too late for it.
func (f *forecaster) prepare() {
	size := len(f.Tasks) + 1
	f.tasks, f.prefillQueue = make([]*Task, 0, size), make([]int, 0, size)
	f.left, f.prefillEnds, f.finished = make([]float64, 0, size), make([]float64, 0, size), make([]bool, 0, size)
	for _, t := range f.Tasks {
		f.add(t)
	}
	f.elapsed = max(0, f.passEnd-f.asOf)
	for i, t := range f.tasks {
		if f.left[i] -= t.passPrefill; f.left[i] >= epsilon {
			f.unprefilled++
			continue
		}
		f.left[i] = 0
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
	if f.sequences > 0 && f.elapsed < deliveryTime {
		f.runPass()
	}
	f.add(f.candidate)
	f.unprefilled++
	f.rebuildQueue()
}

func (f *forecaster) add(t *Task) {
	f.tasks = append(f.tasks, t)
	f.left = append(f.left, t.PrefillLeft)
	f.finished = append(f.finished, false)
	f.prefillEnds = append(f.prefillEnds, 0)
}

// rebuildQueue lists the tasks that have a slot and prefill remaining, in the order of prefill.
func (f *forecaster) rebuildQueue() {
	f.prefillQueue, f.slotsFull = f.prefillQueue[:0], false
	for i := len(f.tasks) - 1; i >= 0; i-- {
		if f.tasks[i].Helper && f.left[i] > 0 {
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
		if f.left[i] > 0 {
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

// finishAnswers ends as many answers as end in a pass on average, the oldest first, because the length of a particular
// answer is not known in advance.
func (f *forecaster) finishAnswers() {
	for i, t := range f.tasks {
		if f.decoding(i) {
			f.dueFinishes += 1 / float64(max(t.DecodePasses, 1))
		}
	}
	for i, t := range f.tasks {
		if f.dueFinishes < 1 {
			return
		}
		if f.decoding(i) {
			f.finished[i] = true
			f.dueFinishes--
			f.sequences--
			f.contextTokens -= t.PromptTokens
		}
	}
}

func (f *forecaster) decoding(i int) bool {
	return !f.tasks[i].Helper && f.left[i] <= 0 && !f.finished[i]
}

// runPass prefills the first task whole if nothing is being decoded, and else runs one pass with as much prefill as
// fits.
func (f *forecaster) runPass() {
	if f.sequences == 0 {
		i := f.prefillQueue[0]
		f.elapsed += f.left[i] * f.slowdown()
		f.left[i] = 0
		f.removePrefilled()
		return
	}
	length := f.Engine.DecodePassTime(f.sequences, f.contextTokens)
	tokens := f.Engine.MaxPassTokens()
	for _, i := range f.prefillQueue {
		if tokens <= 0 {
			break
		}
		var taken float64
		taken, tokens = f.tasks[i].fitPass(f.left[i], tokens)
		f.left[i] -= taken
		length += taken
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
		if f.left[i] >= epsilon {
			rest = append(rest, i)
			continue
		}
		f.left[i] = 0
		f.unprefilled--
		f.prefillEnds[i] = f.elapsed
		if f.tasks[i] == f.candidate {
			f.decodesOthers = f.sequences > 0
		}
		f.startDecoding(f.tasks[i])
	}
	f.prefillQueue = rest
}
