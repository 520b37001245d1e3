package model

// forecaster is a forecast that is being made.
type forecaster struct {
	*Schedule
	candidate *Task

	tasks         []*Task   // of the engine, and the further one
	left          []float64 // by task, of reading
	prefillEnds   []float64 // by task, when it is read
	finished      []bool    // by task, whether its answer has ended
	prefillQueue  []int     // of what is read next
	unprefilled   int       // tasks
	slotsFull     bool      // prompts wait for slots
	dueFinishes   float64   // answers that have ended and are not gone yet
	elapsed       float64   // from now
	longestPass   float64   // pass
	sequences     int       // answers that are being written
	contextTokens int       // tokens of their prompts
	decodesOthers bool      // see Forecast
}

func (o *forecaster) run() Forecast {
	o.prepare()
	for range maxForecastPasses {
		if o.unprefilled == 0 || o.sequences == 0 && len(o.prefillQueue) == 0 {
			break
		}
		o.runPass()
	}
	for i, left := range o.left {
		if left > 0 {
			o.prefillEnds[i] = o.elapsed + left*o.slowdown()
		}
	}
	return Forecast{PrefillEnds: o.prefillEnds, LongestPass: o.longestPass, DecodesOthers: o.decodesOthers}
}

// prepare ends the current pass, and the next one if a further task would come too late for it.
func (o *forecaster) prepare() {
	size := len(o.Tasks) + 1
	o.tasks, o.prefillQueue = make([]*Task, 0, size), make([]int, 0, size)
	o.left, o.prefillEnds, o.finished = make([]float64, 0, size), make([]float64, 0, size), make([]bool, 0, size)
	for _, t := range o.Tasks {
		o.add(t)
	}
	o.elapsed = max(0, o.passEnd-o.asOf)
	for i, t := range o.tasks {
		if o.left[i] -= t.passPrefill; o.left[i] >= epsilon {
			o.unprefilled++
			continue
		}
		o.left[i] = 0
		if t.PrefillLeft > 0 {
			o.prefillEnds[i] = o.elapsed
		}
		o.startDecoding(t)
	}
	if o.passEnd > 0 {
		o.finishAnswers()
	}
	o.rebuildQueue()
	if o.candidate == nil {
		return
	}
	if o.sequences > 0 && o.elapsed < deliveryTime {
		o.runPass()
	}
	o.add(o.candidate)
	o.unprefilled++
	o.rebuildQueue()
}

func (o *forecaster) add(t *Task) {
	o.tasks = append(o.tasks, t)
	o.left = append(o.left, t.PrefillLeft)
	o.finished = append(o.finished, false)
	o.prefillEnds = append(o.prefillEnds, 0)
}

// rebuildQueue puts what is left to read and has a slot in order.
func (o *forecaster) rebuildQueue() {
	o.prefillQueue, o.slotsFull = o.prefillQueue[:0], false
	for i := len(o.tasks) - 1; i >= 0; i-- {
		if o.tasks[i].Helper && o.left[i] > 0 {
			o.prefillQueue = append(o.prefillQueue, i)
		}
	}
	free := o.Engine.slots()
	for i, t := range o.tasks {
		if t.Helper || o.finished[i] {
			continue
		}
		if free--; free < 0 {
			o.slotsFull = true
			return
		}
		if o.left[i] > 0 {
			o.prefillQueue = append(o.prefillQueue, i)
		}
	}
}

// startDecoding counts the answer to a task that is read.
func (o *forecaster) startDecoding(t *Task) {
	if !t.Helper {
		o.sequences++
		o.contextTokens += t.PromptTokens
	}
}

// finishAnswers ends as many answers as end in a pass on average, the oldest first: how long one still takes is hardly known.
func (o *forecaster) finishAnswers() {
	for i, t := range o.tasks {
		if o.decoding(i) {
			o.dueFinishes += 1 / float64(max(t.DecodePasses, 1))
		}
	}
	for i, t := range o.tasks {
		if o.dueFinishes < 1 {
			return
		}
		if o.decoding(i) {
			o.finished[i] = true
			o.dueFinishes--
			o.sequences--
			o.contextTokens -= t.PromptTokens
		}
	}
}

func (o *forecaster) decoding(i int) bool {
	return !o.tasks[i].Helper && o.left[i] <= 0 && !o.finished[i]
}

// runPass reads the first task, or beside answers all that a runPass has room for.
func (o *forecaster) runPass() {
	if o.sequences == 0 {
		i := o.prefillQueue[0]
		o.elapsed += o.left[i] * o.slowdown()
		o.left[i] = 0
		o.removePrefilled()
		return
	}
	length := o.Engine.DecodePassTime(o.sequences, o.contextTokens)
	tokens := o.Engine.MaxPassTokens()
	for _, i := range o.prefillQueue {
		if tokens <= 0 {
			break
		}
		var taken float64
		taken, tokens = o.tasks[i].fitPass(o.left[i], tokens)
		o.left[i] -= taken
		length += taken
	}
	length *= o.slowdown()
	o.elapsed += length
	o.longestPass = max(o.longestPass, length)
	if o.slotsFull {
		o.finishAnswers()
	}
	o.removePrefilled()
	if o.slotsFull {
		o.rebuildQueue()
	}
}

// removePrefilled takes what is read out of the order.
func (o *forecaster) removePrefilled() {
	rest := o.prefillQueue[:0]
	for _, i := range o.prefillQueue {
		if o.left[i] >= epsilon {
			rest = append(rest, i)
			continue
		}
		o.left[i] = 0
		o.unprefilled--
		o.prefillEnds[i] = o.elapsed
		if o.tasks[i] == o.candidate {
			o.decodesOthers = o.sequences > 0
		}
		o.startDecoding(o.tasks[i])
	}
	o.prefillQueue = rest
}
