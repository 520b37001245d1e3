package model

// outlook is a forecast that is being made.
type outlook struct {
	*Schedule
	further *Task

	tasks   []*Task   // of the engine, and the further one
	left    []float64 // by task, of reading
	read    []float64 // by task, when it is read
	gone    []bool    // by task, whether its answer has ended
	order   []int     // of what is read next
	unread  int       // tasks
	full    bool      // prompts wait for slots
	ending  float64   // answers that have ended and are not gone yet
	time    float64   // from now
	longest float64   // pass
	writers int       // answers that are being written
	context int       // tokens of their prompts
	writes  bool      // see Forecast
}

func (o *outlook) run() Forecast {
	o.prepare()
	for range maxPasses {
		if o.unread == 0 || o.writers == 0 && len(o.order) == 0 {
			break
		}
		o.pass()
	}
	for i, left := range o.left {
		if left > 0 {
			o.read[i] = o.time + left*o.slow()
		}
	}
	return Forecast{Read: o.read, Longest: o.longest, Writes: o.writes}
}

// prepare ends the current pass, and the next one if a further task would come too late for it.
func (o *outlook) prepare() {
	size := len(o.Tasks) + 1
	o.tasks, o.order = make([]*Task, 0, size), make([]int, 0, size)
	o.left, o.read, o.gone = make([]float64, 0, size), make([]float64, 0, size), make([]bool, 0, size)
	for _, t := range o.Tasks {
		o.add(t)
	}
	o.time = max(0, o.end-o.at)
	for i, t := range o.tasks {
		if o.left[i] -= t.taken; o.left[i] >= tiny {
			o.unread++
			continue
		}
		o.left[i] = 0
		if t.Left > 0 {
			o.read[i] = o.time
		}
		o.wrote(t)
	}
	if o.end > 0 {
		o.leave()
	}
	o.line()
	if o.further == nil {
		return
	}
	if o.writers > 0 && o.time < reachTime {
		o.pass()
	}
	o.add(o.further)
	o.unread++
	o.line()
}

func (o *outlook) add(t *Task) {
	o.tasks = append(o.tasks, t)
	o.left = append(o.left, t.Left)
	o.gone = append(o.gone, false)
	o.read = append(o.read, 0)
}

// line puts what is left to read and has a slot in order.
func (o *outlook) line() {
	o.order, o.full = o.order[:0], false
	for i := len(o.tasks) - 1; i >= 0; i-- {
		if o.tasks[i].Helper && o.left[i] > 0 {
			o.order = append(o.order, i)
		}
	}
	free := o.Engine.slots()
	for i, t := range o.tasks {
		if t.Helper || o.gone[i] {
			continue
		}
		if free--; free < 0 {
			o.full = true
			return
		}
		if o.left[i] > 0 {
			o.order = append(o.order, i)
		}
	}
}

// wrote counts the answer to a task that is read.
func (o *outlook) wrote(t *Task) {
	if !t.Helper {
		o.writers++
		o.context += t.Tokens
	}
}

// leave ends as many answers as end in a pass on average, the oldest first: how long one still takes is hardly known.
func (o *outlook) leave() {
	for i, t := range o.tasks {
		if o.writing(i) {
			o.ending += 1 / float64(max(t.Passes, 1))
		}
	}
	for i, t := range o.tasks {
		if o.ending < 1 {
			return
		}
		if o.writing(i) {
			o.gone[i] = true
			o.ending--
			o.writers--
			o.context -= t.Tokens
		}
	}
}

func (o *outlook) writing(i int) bool { return !o.tasks[i].Helper && o.left[i] <= 0 && !o.gone[i] }

// pass reads the first task, or beside answers all that a pass has room for.
func (o *outlook) pass() {
	if o.writers == 0 {
		i := o.order[0]
		o.time += o.left[i] * o.slow()
		o.left[i] = 0
		o.done()
		return
	}
	length := o.Engine.WriteTime(o.writers, o.context)
	tokens := o.Engine.PassTokens()
	for _, i := range o.order {
		if tokens <= 0 {
			break
		}
		var taken float64
		taken, tokens = o.tasks[i].fit(o.left[i], tokens)
		o.left[i] -= taken
		length += taken
	}
	length *= o.slow()
	o.time += length
	o.longest = max(o.longest, length)
	if o.full {
		o.leave()
	}
	o.done()
	if o.full {
		o.line()
	}
}

// done takes what is read out of the order.
func (o *outlook) done() {
	rest := o.order[:0]
	for _, i := range o.order {
		if o.left[i] >= tiny {
			rest = append(rest, i)
			continue
		}
		o.left[i] = 0
		o.unread--
		o.read[i] = o.time
		if o.tasks[i] == o.further {
			o.writes = o.writers > 0
		}
		o.wrote(o.tasks[i])
	}
	o.order = rest
}
